package loadlab

import (
	"container/heap"
	"slices"
	"time"
)

// floor runs the jobs through a clairvoyant single queue before all slots: no
// latency, true run times known, the job with the least remaining true work
// first, the longest task of a job first, no preemption. It returns each job's
// response time.
func floor(site Site, jobs []*simJob) map[*simJob]time.Duration {
	f := &floorState{free: site.Workers * site.Slots, done: make(map[*simJob]time.Duration, len(jobs))}
	for _, j := range jobs {
		f.until(j.at)
		f.now = j.at
		work := slices.Clone(j.work)
		slices.Sort(work)
		heap.Push(&f.waiting, &floorJob{simJob: j, queued: work, remaining: j.total, open: len(work)})
		f.start()
	}
	f.until(1 << 62)
	return f.done
}

type floorJob struct {
	*simJob
	queued    []time.Duration
	remaining time.Duration
	open      int
	pos       int
}

type floorEnd struct {
	at   time.Duration
	work time.Duration
	job  *floorJob
}

type floorState struct {
	now     time.Duration
	free    int
	waiting floorQueue
	ends    endQueue
	done    map[*simJob]time.Duration
}

// until lets time pass up to at.
func (f *floorState) until(at time.Duration) {
	for len(f.ends) > 0 && f.ends[0].at <= at {
		e := heap.Pop(&f.ends).(floorEnd)
		f.now = e.at
		f.free++
		e.job.open--
		e.job.remaining -= e.work
		if e.job.pos >= 0 {
			heap.Fix(&f.waiting, e.job.pos)
		}
		if e.job.open == 0 {
			f.done[e.job.simJob] = f.now - e.job.at
		}
		f.start()
	}
}

func (f *floorState) start() {
	for f.free > 0 && len(f.waiting) > 0 {
		j := f.waiting[0]
		last := len(j.queued) - 1
		w := j.queued[last]
		j.queued = j.queued[:last]
		if last == 0 {
			heap.Pop(&f.waiting)
		}
		f.free--
		heap.Push(&f.ends, floorEnd{at: f.now + w, work: w, job: j})
	}
}

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
	q[i].pos, q[k].pos = i, k
}

// Push implements heap.Interface.
func (q *floorQueue) Push(x any) {
	j := x.(*floorJob)
	j.pos = len(*q)
	*q = append(*q, j)
}

// Pop implements heap.Interface.
func (q *floorQueue) Pop() any {
	old := *q
	j := old[len(old)-1]
	*q = old[:len(old)-1]
	j.pos = -1
	return j
}

type endQueue []floorEnd

func (q endQueue) Len() int           { return len(q) }
func (q endQueue) Less(i, k int) bool { return q[i].at < q[k].at }
func (q endQueue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *endQueue) Push(x any) { *q = append(*q, x.(floorEnd)) }

// Pop implements heap.Interface.
func (q *endQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
