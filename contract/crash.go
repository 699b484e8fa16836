package contract

import (
	"fmt"
	"time"
)

// WorkerInstance identifies one instance of a worker, as WorkerAnnouncement does.
type WorkerInstance struct {
	ID            HostID
	StartedMillis int64
}

// Instance returns the identity of the announced instance.
func (a WorkerAnnouncement) Instance() WorkerInstance { return WorkerInstance{a.ID, a.StartedMillis} }

// CrashedRun is a run that was, or may have been, on a worker when it crashed.
type CrashedRun struct {
	Ref RunRef
	// Queue is the queue of the run's job.
	Queue string
	// Elapsed is how long before the crash was noticed the run was started.
	Elapsed time.Duration
}

// Task returns the task of the run.
func (r *CrashedRun) Task() DurableTask { return DurableTask{Job: r.Ref.Job, Task: r.Ref.Task} }

// WorkerCrash reports that an instance of a worker has ended without notice. The same
// crash may be reported several times, and late; Instance tells.
type WorkerCrash struct {
	Instance WorkerInstance
	Pool     string
	// Runs holds the runs that were or may have been on the worker, in the order of
	// their starts.
	Runs []CrashedRun
	// Partial is set if the agent was restarted while the instance lived: it does not
	// know the runs of its earlier process, or not all of them.
	Partial bool
	// Age is how long before the message the crash was noticed.
	Age time.Duration
}

// Alone reports whether all runs on the worker were of one job. The crash is then
// evidence against that job, unless the worker crashed for a reason of its own.
func (c *WorkerCrash) Alone() bool {
	for i := range c.Runs {
		if c.Runs[i].Ref.Job != c.Runs[0].Ref.Job {
			return false
		}
	}
	return len(c.Runs) > 0 && !c.Partial
}

// String returns the run as log lines show it: job, task and run.
func (r RunRef) String() string { return fmt.Sprintf("%s/%d/%d", r.Job, r.Task, r.Run) }
