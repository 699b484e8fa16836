package loadlab

import (
	"container/heap"
	"slices"
	"time"
)

// floor returns the response time of each job under the floor, a reference schedule. It
// has a single queue for all slots, no latency and no preemption. It is clairvoyant, as
// it knows the true run times: it serves the job with the least remaining work first,
// and within a job the longest task first.
func floor(site Site, jobs []*simJob) map[*simJob]time.Duration {
	f := &floorSchedule{freeSlots: site.Workers * site.Slots, responses: make(map[*simJob]time.Duration, len(jobs))}
	for _, j := range jobs {
		f.advanceTo(j.at)
		f.now = j.at
		work := slices.Clone(j.work)
		slices.Sort(work)
		heap.Push(&f.waiting, &floorJob{simJob: j, unstarted: work, remaining: j.total, unfinished: len(work)})
		f.startTasks()
	}
	f.advanceTo(1 << 62)
	return f.responses
}

// floorJob is the state of a job in the reference schedule.
type floorJob struct {
	*simJob
	unstarted  []time.Duration // run times in ascending order
	remaining  time.Duration   // run times of the unfinished tasks
	unfinished int             // number of tasks that have not ended
	heapIndex  int             // index in floorQueue; -1 if not queued
}

type taskEnd struct {
	at   time.Duration
	work time.Duration
	job  *floorJob
}

// floorSchedule is the state of the reference schedule.
type floorSchedule struct {
	now       time.Duration
	freeSlots int
	waiting   floorQueue
	taskEnds  taskEndQueue
	responses map[*simJob]time.Duration
}

// advanceTo processes the ends of tasks until the time at.
func (f *floorSchedule) advanceTo(at time.Duration) {
	for len(f.taskEnds) > 0 && f.taskEnds[0].at <= at {
		e := heap.Pop(&f.taskEnds).(taskEnd)
		f.now = e.at
		f.freeSlots++
		e.job.unfinished--
		e.job.remaining -= e.work
		if e.job.heapIndex >= 0 {
			heap.Fix(&f.waiting, e.job.heapIndex)
		}
		if e.job.unfinished == 0 {
			f.responses[e.job.simJob] = f.now - e.job.at
		}
		f.startTasks()
	}
}

func (f *floorSchedule) startTasks() {
	for f.freeSlots > 0 && len(f.waiting) > 0 {
		j := f.waiting[0]
		last := len(j.unstarted) - 1
		w := j.unstarted[last]
		j.unstarted = j.unstarted[:last]
		if last == 0 {
			heap.Pop(&f.waiting)
		}
		f.freeSlots--
		heap.Push(&f.taskEnds, taskEnd{at: f.now + w, work: w, job: j})
	}
}

// floorQueue is a heap of the jobs with unstarted tasks, by remaining work.
type floorQueue []*floorJob

func (q floorQueue) Len() int { return len(q) }
func (q floorQueue) Less(i, k int) bool {
	if q[i].remaining != q[k].remaining {
		return q[i].remaining < q[k].remaining
	}
	return q[i].id < q[k].id
}
func (q floorQueue) Swap(i, k int) {
	q[i], q[k] = q[k], q[i]
	q[i].heapIndex, q[k].heapIndex = i, k
}

// Push implements heap.Interface.
func (q *floorQueue) Push(x any) {
	j := x.(*floorJob)
	j.heapIndex = len(*q)
	*q = append(*q, j)
}

// Pop implements heap.Interface.
func (q *floorQueue) Pop() any {
	old := *q
	j := old[len(old)-1]
	*q = old[:len(old)-1]
	j.heapIndex = -1
	return j
}

// taskEndQueue is a heap of the ends of running tasks, by time.
type taskEndQueue []taskEnd

func (q taskEndQueue) Len() int           { return len(q) }
func (q taskEndQueue) Less(i, k int) bool { return q[i].at < q[k].at }
func (q taskEndQueue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *taskEndQueue) Push(x any) { *q = append(*q, x.(taskEnd)) }

// Pop implements heap.Interface.
func (q *taskEndQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
