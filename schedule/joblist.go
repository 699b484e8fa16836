package schedule

import (
	"cmp"
	"slices"
	"time"
)

// jobList holds jobs with waiting tasks, ordered by priority class, then by safe start,
// then by ID. In a short pool jobs start close to the time that orders them: at their
// latest start, those whose durations are off would miss their objective.
type jobList []*job

// compareJobs orders jobs as in a jobList.
func compareJobs(a, b *job) int {
	return cmp.Or(a.priorityClass-b.priorityClass, cmp.Compare(a.safeStart(), b.safeStart()), cmp.Compare(a.ID, b.ID))
}

// search returns the index of the job, or where it would be inserted, and
// whether it is in the list.
func (l *jobList) search(j *job) (int, bool) {
	return slices.BinarySearchFunc(*l, j, compareJobs)
}

// add inserts the job in order unless it is in the list already.
func (l *jobList) add(j *job) {
	if i, found := l.search(j); !found {
		*l = slices.Insert(*l, i, j)
	}
}

// remove removes the job if it is in the list.
func (l *jobList) remove(j *job) {
	if i, found := l.search(j); found {
		*l = slices.Delete(*l, i, i+1)
	}
}

// enqueue adds a job that has waiting tasks to viableJobs unless it is in
// lateJobs or deferredJobs.
func (s *Scheduler) enqueue(j *job) {
	if j.waitingTasks > 0 && s.jobs[j.ID] == j {
		if _, isLate := s.lateJobs.search(j); !isLate && !slices.Contains(s.deferredJobs, j) {
			s.viableJobs.add(j)
		}
	}
}

// demote moves jobs that have not begun and can no longer meet their objective
// from viableJobs to lateJobs, where they only get the capacity that viable
// jobs leave. A job that has begun stays, since the work it has done would be
// wasted.
func (s *Scheduler) demote(now time.Duration) {
	s.viableJobs = slices.DeleteFunc(s.viableJobs, func(j *job) bool {
		if j.latestStart >= now || j.begun {
			return false
		}
		s.markShort(now, j.Pool)
		s.lateJobs.add(j)
		return true
	})
}
