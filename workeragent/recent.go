package workeragent

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Load pattern: the leader of jobs that are kept only in memory is lost while runs end
// hundreds of times a second. The next leader learns from this record which tasks have
// ended already, and which jobs have never run.

const (
	// recentRetention is how long a run is recorded after its end. An outage of the
	// leader of up to about three seconds, plus the age of a job that is still of use,
	// is shorter.
	recentRetention = 4 * time.Second
	// maxRecentRuns bounds the record, and with it the report: a worker of 32 cores
	// ends about 170 tasks of 0.06 s in a second.
	maxRecentRuns = 1000
)

// recentRun is a run that is over.
type recentRun struct {
	end contract.RunEnded
	at  time.Duration
}

// recentRuns records the runs of all sessions that are over, in the order in which
// this became known. A run whose end a leader has acknowledged keeps the kind of its
// end. Any other has EndLeaseExpired: it may have run, but has no result.
type recentRuns struct {
	runs []recentRun
	// since is the boot time since which the record is complete; zero before the
	// first session.
	since time.Duration
}

// begin starts the record with the first session of this process. Earlier runs were
// those of an earlier agent process.
func (r *recentRuns) begin(now time.Duration) {
	if r.since == 0 {
		r.since = now
	}
}

// add records a run. It drops runs that are too old or too many, but only here: while
// no run ends, the record reaches further back.
func (r *recentRuns) add(now time.Duration, e contract.RunEnded) {
	if e.Job == "" {
		return
	}
	if e.Direct() {
		// Its entry has the result; a leader only needs to know that the job has begun.
		e = voidRun(e.RunRef)
	}
	r.runs = append(r.runs, recentRun{e, now})
	n := max(0, len(r.runs)-maxRecentRuns)
	for now-r.runs[n].at > recentRetention {
		n++
	}
	if n > 0 {
		r.since = max(r.since, r.runs[n-1].at)
		r.runs = r.runs[n:]
	}
}

// voidRun returns the record of a run that may have run and has no result.
func voidRun(ref contract.RunRef) contract.RunEnded {
	return contract.RunEnded{RunRef: ref, Kind: contract.EndLeaseExpired}
}

// recordAckedEnds records the ends that the leader newly acknowledges, up to seq. The
// caller holds agent.mu and sets ackedSeq afterwards.
func (w *workerInstance) recordAckedEnds(now time.Duration, seq uint64) {
	for _, e := range w.unackedEnds {
		if e.Seq > w.ackedSeq && e.Seq <= seq {
			w.agent.recent.add(now, e)
		}
	}
}

// voidRuns returns the runs of the instance that have no result if its session is
// over: those that may be alive or could still start, and those whose ends were not
// acknowledged. The caller holds agent.mu.
func (w *workerInstance) voidRuns() []contract.RunEnded {
	var out []contract.RunEnded
	for _, st := range w.pendingStarts {
		out = append(out, voidRun(st.RunRef))
	}
	for _, r := range w.runs {
		out = append(out, voidRun(r.ref))
	}
	for _, e := range w.unackedEnds {
		if e.Seq > w.ackedSeq {
			out = append(out, voidRun(e.RunRef))
		}
	}
	return out
}

// recordVoidRuns records the runs of a session that is over. The caller holds
// agent.mu.
func (w *workerInstance) recordVoidRuns(now time.Duration) {
	for _, e := range w.voidRuns() {
		w.agent.recent.add(now, e)
	}
}

// fillRecent adds the record to a report, and the runs of a session that waits for the
// end of its lease. The caller holds a.mu.
func (a *Agent) fillRecent(now time.Duration, r *contract.WorkerReport) {
	if a.recent.since == 0 {
		return
	}
	r.RecentSince = max(now-a.recent.since, 1)
	for _, run := range a.recent.runs {
		r.Recent = append(r.Recent, run.end)
	}
	if w := a.instance; w != nil && !w.inSession {
		r.Recent = append(r.Recent, w.voidRuns()...)
	}
}
