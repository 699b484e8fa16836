package schedule

import (
	"slices"
	"time"
)

// jobList holds jobs with waiting tasks by rank, and by the time at which they
// must start.
type jobList []*job

func (l *jobList) search(j *job) (int, bool) {
	return slices.BinarySearchFunc(*l, j, func(a, b *job) int {
		switch {
		case a.rank != b.rank:
			return a.rank - b.rank
		case a.latestStart != b.latestStart:
			return int(min(max(a.latestStart-b.latestStart, -1), 1))
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
}

func (l *jobList) add(j *job) {
	if i, found := l.search(j); !found {
		*l = slices.Insert(*l, i, j)
	}
}

func (l *jobList) remove(j *job) {
	if i, found := l.search(j); found {
		*l = slices.Delete(*l, i, i+1)
	}
}

// enqueue puts a job with waiting tasks where Place looks for it.
func (s *Scheduler) enqueue(j *job) {
	if j.waiting > 0 && s.jobs[j.ID] == j {
		if _, isLate := s.late.search(j); !isLate {
			s.viable.add(j)
		}
	}
}

// demote moves jobs that have not begun and can no longer meet their objective
// behind those that can: they fill what is left. A job that has begun stays:
// what it has done would be wasted.
func (s *Scheduler) demote(now time.Duration) {
	s.viable = slices.DeleteFunc(s.viable, func(j *job) bool {
		if j.latestStart >= now || j.begun {
			return false
		}
		s.late.add(j)
		return true
	})
}
