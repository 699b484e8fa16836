package workeragent

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

const (
	// crashRetention is how long a crash is reported to each new leader and entry. A
	// caller sends its job again within seconds; the leader keeps the crashes under
	// stored jobs for as long as these have not ended.
	crashRetention = time.Minute
	// maxRecordedCrashes bounds the record: a worker that needs seconds to start
	// crashes at most this often within crashRetention.
	maxRecordedCrashes = 32
)

// recordedCrash is a crash of the worker, and the boot time at which it was noticed.
type recordedCrash struct {
	contract.WorkerCrash
	at time.Duration
}

// recordCrash records that the instance has ended, unless it had announced that. Runs
// whose start call is unanswered may have been on it. The caller holds agent.mu.
func (w *workerInstance) recordCrash(now time.Duration) {
	if w.leaving {
		return
	}
	c := contract.WorkerCrash{Instance: w.worker.Instance(), Pool: w.worker.Pool, Runs: w.crashedRuns(now), Partial: !w.hadSession || len(w.unknownRuns) > 0}
	telemetry.WorkerCrashes.Inc()
	w.agent.log.Info("worker crashed", "worker", w.id, "born", w.worker.StartedMillis, "alone", c.Alone(), "runs", c.Runs)
	a := w.agent
	a.crashes = append(a.crashes, recordedCrash{c, now})
	a.crashes = a.crashes[max(0, len(a.crashes)-maxRecordedCrashes):]
	for _, e := range a.entries {
		e.sendCrash(c)
	}
}

// sendCrash reports a crash. A report that is lost with the link is repeated on the next
// one.
func (e *entryLink) sendCrash(c contract.WorkerCrash) {
	_ = e.link.Send(&contract.DirectCrash{Crash: c})
}

// crashedRuns returns the runs on the instance in the order of their starts. The caller
// holds agent.mu.
func (w *workerInstance) crashedRuns(now time.Duration) []contract.CrashedRun {
	var out []contract.CrashedRun
	for _, r := range w.runsInOrder() {
		out = append(out, contract.CrashedRun{Ref: r.ref, Queue: r.queue, Elapsed: now - r.startedAt})
	}
	return out
}

// runsInOrder returns the runs in the order of their starts. The caller holds agent.mu.
func (w *workerInstance) runsInOrder() []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return int(a.number) - int(b.number) })
	return out
}

// recentCrashes returns the crashes within crashRetention. The caller holds a.mu.
func (a *Agent) recentCrashes(now time.Duration) []contract.WorkerCrash {
	var out []contract.WorkerCrash
	for _, c := range a.crashes {
		if c.Age = now - c.at; c.Age <= crashRetention {
			out = append(out, c.WorkerCrash)
		}
	}
	return out
}
