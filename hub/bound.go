package hub

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// A bound job is a transient job that an entry without a leader might start directly.
// If its entry is lost, or cut off from this leader, the caller sends the job again
// after 1,300 ms, perhaps to an entry that has no leader. By then no run of the job may
// be alive here. From contract.BoundSilence after the last proof that the entry is alive,
// the leader starts none of the job's tasks and extends no authority that a run of it
// could use; at contract.BoundGrace it drops the job. A job that has not begun, or whose
// entry has no link, it drops at once. The proof is the entry's echo of this hub's clock,
// since a message as such may have waited in a buffer.

// stampInterval is how often a leader sends its clock to the entries that echo it. With
// contract.BoundSilence it leaves time for a pause of this process of 0.25 s, after
// which it is still the leader.
const stampInterval = 100 * time.Millisecond

// stampEntries sends this hub's state, and with it its clock, to the entries that echo
// it, while this hub leads.
func (h *Hub) stampEntries(now time.Duration) {
	if now-h.stampedAt < stampInterval || !h.holdsLeaderLease(now) {
		return
	}
	h.stampedAt = now
	s := h.hubState(now)
	for l := range h.entryAliveAt {
		h.sendState(l, s)
	}
}

// recordEcho records an entry's echo of the clock reading stamp. The first echo on a link
// shows that the entry knows direct starts, so it is sent the queues.
func (h *Hub) recordEcho(l *link.Link, stamp int64) {
	if !h.inbound[l] {
		return
	}
	at, known := h.entryAliveAt[l]
	h.entryAliveAt[l] = max(at, min(time.Duration(stamp), h.eventAt))
	if !known {
		h.sendQueues(l)
	}
}

// entrySilent reports whether the entry at the other end of the link has been silent
// for longer than a bound job allows.
func (h *Hub) entrySilent(now time.Duration, l *link.Link) bool {
	return now-h.entryAliveAt[l] > contract.BoundSilence
}

// dropSilentEntries drops the bound jobs all of whose entries have been silent for
// too long. An entry that is alive nevertheless submits a job
// again that has not begun, and answers that the outcome of others is unknown.
func (h *Hub) dropSilentEntries(now time.Duration) {
	transients := h.leader.transients
	for id, t := range transients.bound {
		if t.endedAt != 0 || transients.jobs[id] != t {
			delete(transients.bound, id)
			continue
		}
		linked := false
		for _, w := range t.waiters {
			t.entryAliveAt = max(t.entryAliveAt, h.entryAliveAt[w.link])
			linked = linked || h.inbound[w.link]
		}
		h.leader.sched.BindToEntry(id, t.entryAliveAt)
		if now-t.entryAliveAt <= contract.BoundSilence {
			continue
		}
		verdict := contract.VerdictNotLeader
		if t.mayHaveStarted || h.leader.sched.Begun(id) {
			verdict = contract.VerdictUnknown
			if linked && now-t.entryAliveAt <= contract.BoundGrace {
				continue
			}
		}
		h.log.Info("bound job dropped: its entry is silent", "job", id, "verdict", verdict, "silent_ms", (now - t.entryAliveAt).Milliseconds())
		for _, r := range t.waiters {
			h.reply(r.link, r.seq, &contract.JobReply{Verdict: verdict})
		}
		t.waiters = nil
		h.abandonTransient(now, nil, id)
	}
}
