package quarantine

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Queue identifies a queue of a pool.
type Queue struct{ Pool, Queue string }

const (
	// cleanJobs is the number of jobs in a row, and quietTime the time, without a crash
	// after which a confined queue is free again: one deadly job in ten would show
	// itself in 99 of 100 cases. Both double, up to maxRelapses times, each time a
	// queue is confined again within relapseTime.
	cleanJobs   = 50
	quietTime   = 5 * time.Second
	maxRelapses = 4
	relapseTime = time.Minute
	// evidenceTime is how long a crash is compared with later ones, and youngTime the time
	// since its start up to which a run is likely to have caused a crash.
	evidenceTime = 2 * time.Second
	youngTime    = 50 * time.Millisecond
	// ConfinementMemory is how old a crash may be when it is learned, by a new leader or an
	// entry, to say something of the requests that come now. If these are sound, the queue
	// is free again after some seconds.
	ConfinementMemory = 10 * time.Second
	// cleanPerShare is the number of such jobs, and timePerShare the time, after which one
	// job more may share a worker.
	cleanPerShare = 5
	timePerShare  = time.Second
	// minBackoff and maxBackoff bound how long after a crash a confined queue stays off
	// the last worker of a pool, which it would have to take from the other queues.
	minBackoff = 5 * time.Second
	maxBackoff = time.Minute
)

// Confinement holds the queues whose tasks have crashed workers. A confined queue uses
// only some workers of its pool, and these run nothing else.
type Confinement struct {
	queues map[Queue]*confined
	active int
	// evidence holds the crashes of the last evidenceTime that no queue was blamed for.
	evidence []evidence
}

// confined is the state of a queue that is or was confined.
type confined struct {
	active bool
	since  time.Duration
	// clean counts the jobs that came after the queue was confined and were done since
	// the last crash, which was at crashedAt.
	clean     int
	crashedAt time.Duration
	// relapses says how often the queue was confined again soon after it was free.
	relapses int
	// crashes counts the crashes since the queue was confined.
	crashes int
	freedAt time.Duration
}

// NewConfinement returns a Confinement of no queue.
func NewConfinement() *Confinement { return &Confinement{queues: map[Queue]*confined{}} }

// Crashed records that a task of the queue has crashed a worker. It reports whether this
// confines the queue.
func (c *Confinement) Crashed(now time.Duration, q Queue) bool {
	st := c.queues[q]
	if st == nil {
		st = &confined{}
		c.queues[q] = st
	}
	st.clean, st.crashedAt = 0, now
	if st.active {
		st.crashes++
		return false
	}
	st.crashes = 0
	if st.freedAt > 0 && now-st.freedAt < relapseTime {
		st.relapses = min(st.relapses+1, maxRelapses)
	} else {
		st.relapses = 0
	}
	st.active, st.since = true, now
	c.active++
	return true
}

// Blame confines the queues to which a crash points, and returns those that were not
// confined before. A task that is given up proves that its queue is to blame. Any other
// crash that ran a task of a confined queue is put down to that queue. What is left points
// to a queue if it agrees with the other crashes of the last evidenceTime; see suspect. The
// ledger must have recorded the crash.
func (c *Confinement) Blame(now time.Duration, l *Ledger, crash *contract.WorkerCrash) []string {
	culprits := l.proven(crash)
	if len(culprits) == 0 {
		culprits = c.Involved(crash)
	}
	if len(culprits) == 0 && !crash.Partial {
		culprits = c.suspect(now-crash.Age, l, crash)
	}
	var confined []string
	for _, queue := range culprits {
		if c.Crashed(now, Queue{crash.Pool, queue}) {
			confined = append(confined, queue)
		}
	}
	return confined
}

// evidence is a crash that no queue has been blamed for.
type evidence struct {
	at   time.Duration
	pool string
	// young lists the queues that had started a run on the worker just before, and repeated
	// those of them of which such a run was of a task under an earlier crash.
	young, repeated []string
}

// suspect returns the one queue that had just started a run on the worker before each of
// the last crashes of the pool, if there are two or more of them and one of these runs was
// of a task under an earlier crash. Tasks that crash their workers mostly do so at their
// start; the innocent ones that start beside them are now of this queue, now of that, and
// those that meet a second crash have mostly run for longer.
func (c *Confinement) suspect(at time.Duration, l *Ledger, crash *contract.WorkerCrash) []string {
	e := evidence{at: at, pool: crash.Pool}
	for _, r := range crash.Runs {
		if r.Elapsed > youngTime {
			continue
		}
		if !slices.Contains(e.young, r.Queue) {
			e.young = append(e.young, r.Queue)
		}
		if l.repeated(r.Task()) {
			e.repeated = append(e.repeated, r.Queue)
		}
	}
	c.evidence = slices.DeleteFunc(c.evidence, func(o evidence) bool { return at-o.at > evidenceTime })
	c.evidence = append(c.evidence, e)
	common, crashes, repeated := e.young, 0, []string(nil)
	for _, o := range c.evidence {
		if o.pool == crash.Pool {
			common = slices.DeleteFunc(slices.Clone(common), func(q string) bool { return !slices.Contains(o.young, q) })
			crashes++
			repeated = append(repeated, o.repeated...)
		}
	}
	if crashes < 2 || len(common) != 1 || !slices.Contains(repeated, common[0]) {
		return nil
	}
	c.evidence = slices.DeleteFunc(c.evidence, func(o evidence) bool { return o.pool == crash.Pool })
	return common
}

// Involved returns the confined queues that had runs on the crashed worker.
func (c *Confinement) Involved(crash *contract.WorkerCrash) []string {
	var queues []string
	for _, r := range crash.Runs {
		if c.Confined(Queue{crash.Pool, r.Queue}) && !slices.Contains(queues, r.Queue) {
			queues = append(queues, r.Queue)
		}
	}
	return queues
}

// JobDone records that a job of the queue that came at the given time is done. It reports
// whether this frees the queue.
func (c *Confinement) JobDone(now, arrived time.Duration, q Queue) bool {
	st := c.queues[q]
	if st == nil || !st.active || arrived < st.since {
		return false
	}
	if st.clean++; st.clean < cleanJobs<<st.relapses || now-st.crashedAt < quietTime<<st.relapses {
		return false
	}
	st.active, st.freedAt = false, now
	c.active--
	return true
}

// Confined reports whether the queue is confined.
func (c *Confinement) Confined(q Queue) bool {
	if c.active == 0 {
		return false
	}
	st := c.queues[q]
	return st != nil && st.active
}

// Count returns the number of the pool's queues that are confined.
func (c *Confinement) Count(pool string) int {
	n := 0
	for q, st := range c.queues {
		if q.Pool == pool && st.active {
			n++
		}
	}
	return n
}

// Queues returns the names of the pool's queues that are confined.
func (c *Confinement) Queues(pool string) []string {
	var names []string
	for q, st := range c.queues {
		if q.Pool == pool && st.active {
			names = append(names, q.Queue)
		}
	}
	slices.Sort(names)
	return names
}

// JobsPerWorker returns how many jobs of a confined queue may share a worker. While a
// job runs alone, a crash is evidence against it. Time without a crash counts only if jobs
// have run in it.
func (c *Confinement) JobsPerWorker(now time.Duration, q Queue) int {
	st := c.queues[q]
	if st == nil || st.clean == 0 {
		return 1
	}
	return 1 + st.clean/cleanPerShare + int((now-st.crashedAt)/timePerShare)
}

// Backoff returns how long after a crash the queue stays off the last worker of a pool.
// It doubles with each crash.
func (c *Confinement) Backoff(q Queue) time.Duration {
	st := c.queues[q]
	if st == nil {
		return minBackoff
	}
	return min(minBackoff<<min(st.crashes, 8), maxBackoff)
}
