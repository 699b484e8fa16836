package workeragent

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// TestFirstSessionWaitsForLateStarts checks when a session may begin. The worker may
// carry out a start call of an earlier agent process until the lease that the process
// may have asked for has passed, although it lists no run and its last lease has
// expired. A token that the process cannot have known ends that wait.
func TestFirstSessionWaitsForLateStarts(t *testing.T) {
	lapsed := []EndedRun{{Seq: 1, Kind: contract.EndDone}, {Seq: 2, Kind: contract.EndLeaseExpired}}
	done := []EndedRun{{Seq: 1, Kind: contract.EndLeaseExpired}, {Seq: 2, Kind: contract.EndDone}}
	running := []NamedRun{{Name: "j.0.0.0", Run: 1}}
	const within, after = 1400, 1530
	first, later, fenced, fresh := leftovers{}, leftovers{hadSession: true}, leftovers{fenced: true}, leftovers{newInstance: true}
	cases := []struct {
		name  string
		left  leftovers
		reply PollReply
		over  bool
	}{
		{"first session, no end listed", first, PollReply{ClockMS: within}, false},
		{"first session, a lease has expired", first, PollReply{ClockMS: within, Ended: lapsed}, false},
		{"first session, after the longest lease", first, PollReply{ClockMS: after, Ended: lapsed}, true},
		{"later session, no end listed", later, PollReply{ClockMS: within}, true},
		{"later session, the lease has expired", later, PollReply{ClockMS: within, Ended: lapsed}, true},
		{"later session, an end under the lease", later, PollReply{ClockMS: within, Ended: done}, false},
		{"later session, after the longest lease", later, PollReply{ClockMS: after, Ended: done}, true},
		{"fenced, no end listed", fenced, PollReply{ClockMS: within}, true},
		{"fenced, the lease has expired", fenced, PollReply{ClockMS: within, Ended: lapsed}, true},
		{"fenced, an end under the lease", fenced, PollReply{ClockMS: within, Ended: done}, false},
		{"fenced, after the longest lease", fenced, PollReply{ClockMS: after, Ended: done}, true},
		{"fenced, the worker ran on", fenced, PollReply{ClockMS: within, Running: running}, false},
		{"after the longest lease, the worker ran on", fenced, PollReply{ClockMS: after, Running: running}, false},
		{"new instance, no end listed", fresh, PollReply{ClockMS: within}, true},
		{"new instance, an end listed", fresh, PollReply{ClockMS: within, Ended: lapsed}, false},
	}
	for _, c := range cases {
		c.left.latestLeaseEndMS = 1500
		must.Eq(t, c.over, c.left.over(c.reply), must.Sprint(c.name))
	}
}

// emptyClient is a client of a worker that lists nothing.
type emptyClient struct{ absentClient }

func (emptyClient) Poll(context.Context, PollCall) (PollReply, error) {
	return PollReply{ClockMS: 10}, nil
}

// TestOwnEarlierCallsAreNotFenced: a worker that was restarted under its ID may carry out
// late calls of this very process, whose token is as new.
func TestOwnEarlierCallsAreNotFenced(t *testing.T) {
	for _, c := range []struct {
		name    string
		session contract.WorkerSession
		unknown bool
		fenced  bool
	}{
		{"the process has begun, and nobody knew the term", 0, true, true},
		{"an earlier process may have known the term", 0, false, false},
		{"the process has had a session", 7, true, false},
	} {
		a, w := newInstanceInSession(t, emptyClient{})
		a.session, a.unknownBefore = c.session, func(uint64) bool { return c.unknown }
		_, err := w.poll(PollCall{})
		must.NoError(t, err)
		must.Eq(t, c.fenced, w.fenced, must.Sprint(c.name))
	}
}

// modelWorker is a worker as its protocol describes it. Its clock counts milliseconds.
type modelWorker struct {
	clock, leaseEnd int64
	token           uint64
	running         map[NamedRun]int64 // the clock at which the run ends by itself
	ended           []EndedRun
	seq             uint64
}

// modelCall is a call that the worker carries out when its clock reads at. Only a start
// names a run.
type modelCall struct {
	at, deadline int64
	token        uint64
	start        NamedRun
	process      int
}

func (w *modelWorker) end(n NamedRun, kind contract.RunEndKind) {
	delete(w.running, n)
	w.seq++
	w.ended = append(w.ended, EndedRun{NamedRun: n, Seq: w.seq, Kind: kind})
}

// advance moves the clock by a millisecond. It returns whether the lease expired.
func (w *modelWorker) advance() bool {
	w.clock++
	for n, end := range w.running {
		if w.clock >= end {
			w.end(n, contract.EndDone)
		}
	}
	expired := w.clock == w.leaseEnd+1
	if expired {
		for n := range w.running {
			w.end(n, contract.EndLeaseExpired)
		}
	}
	return expired
}

// carryOut carries out a call, and returns whether it started a run.
func (w *modelWorker) carryOut(c modelCall) bool {
	if c.token < w.token {
		return false
	}
	w.token = c.token
	if c.start.Name != "" && c.deadline < w.clock {
		return false
	}
	w.leaseEnd = max(w.leaseEnd, c.deadline)
	if c.start.Name != "" {
		w.running[c.start] = w.clock + c.start.length()
	}
	return c.start.Name != ""
}

// length returns for how long the run lasts, in milliseconds.
func (n NamedRun) length() int64 { return int64(20 + n.Run*37%900) }

// TestNothingIsLeftWhenASessionBegins plays agent processes that end at any moment beside a
// worker that runs on or is new, changes of leader, and calls that are carried out late.
// Once a session has begun, no call of an earlier process may start a run, and each end
// that was listed must be void: the lease has expired since.
func TestNothingIsLeftWhenASessionBegins(t *testing.T) {
	const longestLease = 500
	atOnce := 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 4))
		w := &modelWorker{running: map[NamedRun]int64{}}
		var calls []modelCall
		process, term, run := 1, uint64(1), uint64(0)
		toldFirst := map[uint64]int{}
		known := uint64(0)
		var left leftovers
		bornAt, leaseExpiredAt := int64(0), int64(-1)
		inSession := false
		for range 6000 {
			if w.advance() {
				leaseExpiredAt = w.clock
			}
			later := calls[:0:0]
			for _, c := range calls {
				if c.at > w.clock {
					later = append(later, c)
				} else if w.carryOut(c) && c.process != process {
					must.False(t, inSession, must.Sprintf("seed %d: a start of an earlier process was carried out in a session", seed))
				}
			}
			calls = later
			switch x := rng.IntN(400); {
			case x == 0: // the agent process ends, and another one begins
				process, known, inSession, left = process+1, 0, false, leftovers{}
				bornAt = w.clock
			case x == 1: // another leader
				term++
			case x < 20: // the process hears of the leader
				known = term
				if toldFirst[term] == 0 {
					toldFirst[term] = process
				}
			}
			switch {
			case inSession && rng.IntN(8+int(seed)%4*50) == 0:
				c := modelCall{at: w.clock + int64(rng.IntN(3)), deadline: w.clock + longestLease, token: known, process: process}
				if run++; rng.IntN(3) > 0 {
					c.start = NamedRun{Name: "t", Run: run}
				}
				if rng.IntN(3) == 0 {
					c.at += int64(rng.IntN(3000))
				}
				calls = append(calls, c)
			case !inSession && w.clock%20 == 0 && known >= w.token && known > 0:
				w.token = known
				left.fenced = left.fenced || toldFirst[known] == process
				if left.latestLeaseEndMS == 0 {
					left.latestLeaseEndMS = w.clock + longestLease
				}
				reply := PollReply{ClockMS: w.clock, Ended: w.ended}
				for n := range w.running {
					reply.Running = append(reply.Running, n)
				}
				if !left.over(reply) {
					continue
				}
				if len(w.ended) > 0 {
					must.True(t, leaseExpiredAt >= 0 && w.clock > w.leaseEnd, must.Sprintf("seed %d: the ends are not void", seed))
				}
				if w.clock-bornAt < longestLease {
					atOnce++
				}
				inSession, w.ended = true, nil
			}
		}
	}
	must.Greater(t, 500, atOnce)
}
