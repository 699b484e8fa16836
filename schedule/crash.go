package schedule

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
	"github.com/carawaylanding/carawaylanding/quarantine"
)

// Load pattern: a task crashes each worker that starts it, and takes the worker's other
// runs with it. The scheduler counts crashes by task (quarantine.Ledger). The innocent
// tasks start again at once, apart from each other; one that is under a second crash
// runs alone, see confine.go; one that crashed a worker alone is given up with the
// second crash.

// lostRunsTTL is how long the runs of an ended session are kept, in case its agent, which
// was restarted meanwhile, reports that the worker has crashed.
const lostRunsTTL = 10 * time.Second

// lostRuns are the runs of a session that ended without a report.
type lostRuns struct {
	instance contract.WorkerInstance
	runs     []contract.CrashedRun
	at       time.Duration
}

// CrashNotice is a crash of a worker that this leader has learned of, with the tasks for
// which it is new. A crash is learned again if it is reported with more runs.
type CrashNotice struct {
	contract.WorkerCrash
	Host  contract.HostID
	Tasks []CrashedTask
	// Confined lists the queues that are confined from now on.
	Confined []string
}

// CrashedTask is a task under which a worker has crashed, how many have so far, and what
// follows.
type CrashedTask struct {
	contract.DurableTask
	Crashes int
	Verdict quarantine.Verdict
}

// restoreCrashes counts the crashes that the replicated state lists. Queues that a crash
// of the last quarantine.ConfinementMemory points to are confined again.
func (s *Scheduler) restoreCrashes(now time.Duration, st *durable.State) {
	for i := range st.Crashes {
		c := st.Crashes[i].WorkerCrash
		c.Age = time.Duration(st.LogTime-st.Crashes[i].At) * time.Millisecond
		s.ledger.Record(now-c.Age, &c)
		if c.Age <= quarantine.ConfinementMemory {
			s.confinement.Blame(now, s.ledger, &c)
		}
	}
}

// recordCrashes counts the crashes that an agent reports.
func (s *Scheduler) recordCrashes(now time.Duration, w *Worker, r *contract.WorkerReport) {
	for i := range r.Crashes {
		c := r.Crashes[i]
		if c.Partial {
			c.Runs = append(slices.Clone(c.Runs), s.runsOfInstance(w, c.Instance)...)
		}
		s.recordCrash(now, r.Host, c)
	}
	if n := len(r.Crashes); r.NoWorker && n > 0 {
		s.noteLostWorker(now, r.Host, &r.Crashes[n-1])
	}
	if !r.NoWorker && w.instance != r.Worker.Instance() {
		delete(s.lostRuns, r.Host)
		w.instance, w.largest = r.Worker.Instance(), contract.Capacity{}
	}
}

// runsOfInstance returns the runs on an instance of the worker as this leader knows them,
// for an agent that does not know them all.
func (s *Scheduler) runsOfInstance(w *Worker, instance contract.WorkerInstance) []contract.CrashedRun {
	if lost, ok := s.lostRuns[w.Host]; ok && lost.instance == instance {
		return lost.runs
	}
	if w.instance == instance {
		return w.crashedRuns(s)
	}
	return nil
}

// crashedRuns returns the worker's runs.
func (w *Worker) crashedRuns(s *Scheduler) []contract.CrashedRun {
	var out []contract.CrashedRun
	for ref, r := range w.runs {
		out = append(out, contract.CrashedRun{Ref: ref, Queue: r.queue})
	}
	return out
}

// noteLostRuns keeps the runs of a session that ends without a report.
func (s *Scheduler) noteLostRuns(w *Worker) {
	for h, lost := range s.lostRuns {
		if s.checkedAt-lost.at > lostRunsTTL {
			delete(s.lostRuns, h)
		}
	}
	if len(w.runs) > 0 {
		s.lostRuns[w.Host] = lostRuns{w.instance, w.crashedRuns(s), s.checkedAt}
	}
}

// recordCrash counts a crash of a worker, and decides on the jobs and queues concerned.
func (s *Scheduler) recordCrash(now time.Duration, h contract.HostID, c contract.WorkerCrash) {
	counted := s.ledger.Record(now-c.Age, &c)
	if len(counted) == 0 {
		return
	}
	n := CrashNotice{WorkerCrash: c, Host: h}
	for _, t := range counted {
		v := s.ledger.Verdict(t)
		n.Tasks = append(n.Tasks, CrashedTask{t, s.ledger.Crashes(t), v})
		if j := s.jobs[t.Job]; j != nil {
			j.crashedAt = now
			s.judge(j)
		}
	}
	if c.Age <= quarantine.ConfinementMemory {
		n.Confined = s.confinement.Blame(now, s.ledger, &c)
	}
	s.crashNotices = append(s.crashNotices, n)
}

// noteLostWorker records that a worker is away after a crash if that ran a task of a
// confined queue.
func (s *Scheduler) noteLostWorker(now time.Duration, h contract.HostID, c *contract.WorkerCrash) {
	if c.Age < lostWorkerTime && len(s.confinement.Involved(c)) > 0 {
		cells := s.cellsOf(c.Pool)
		cells.lost[h], cells.crashedAt = now-c.Age, max(cells.crashedAt, now-c.Age)
	}
}

// judge updates what follows from the crashes under the job's tasks.
func (s *Scheduler) judge(j *job) {
	j.verdict, j.ranAlone = s.ledger.JobVerdict(j.ID), s.ledger.RanAlone(j.ID)
	if j.verdict == quarantine.GivenUp {
		s.givenUp = append(s.givenUp, j.ID)
	}
}

// GivenUp reports whether the job has a task that is known to crash workers.
func (s *Scheduler) GivenUp(id contract.DurableJobID) bool {
	return s.ledger.JobVerdict(id) == quarantine.GivenUp
}

// TakeCrashes returns the crashes learned of since the last call.
func (s *Scheduler) TakeCrashes() []CrashNotice {
	n := s.crashNotices
	s.crashNotices = nil
	return n
}

// TakeGivenUp returns the jobs that are given up since the last call. The hub ends them
// as failed.
func (s *Scheduler) TakeGivenUp() []contract.DurableJobID {
	ids := s.givenUp
	s.givenUp = nil
	return ids
}

// taskVerdict returns how task t of the job may be started.
func (s *Scheduler) taskVerdict(j *job, t int) quarantine.Verdict {
	if j.verdict == quarantine.Clear {
		return quarantine.Clear
	}
	return s.ledger.Verdict(contract.DurableTask{Job: j.ID, Task: uint32(t)})
}
