package schedule

import "time"

// queueStats holds, for one queue, how far declared task durations are off, and how
// the actual durations are distributed.
type queueStats struct {
	// durationRatio is the ratio of actual to declared task durations on a worker
	// of usual speed.
	durationRatio float64
	tail          durationTail
}

const (
	// durationRatioWeight is the weight of a new sample in durationRatio.
	durationRatioWeight = 0.02
	// maxDurationRatio bounds durationRatio from above; its reciprocal bounds
	// it from below.
	maxDurationRatio = 5
	// networkOverhead is the time that a job spends outside its tasks, on the
	// network hops from the caller to the worker and back.
	networkOverhead = 15 * time.Millisecond
	// maxEstimate limits the estimate of a job, however many steps it has, so that no
	// multiple of its objective overflows.
	maxEstimate = 90 * 24 * time.Hour
)

// statsOf returns the stats of a queue, creating them on first use.
func (s *Scheduler) statsOf(queue string) *queueStats {
	q := s.statsByQueue[queue]
	if q == nil {
		q = &queueStats{durationRatio: 1, tail: newDurationTail()}
		s.statsByQueue[queue] = q
	}
	return q
}

// recordTaskDuration updates what is known of the queue's durations with that of one
// task, as a multiple of its declared duration, on a worker of usual speed. It counts
// at most 3 times the average. The samples are compared with the declared duration and
// not with the one expected when the task started: at 1,000 tasks a second hundreds end
// before a correction shows in an end, and the ratio would swing ever further.
func (s *Scheduler) recordTaskDuration(queue string, ratio float64) {
	q := s.statsOf(queue)
	q.durationRatio += durationRatioWeight * (min(ratio, 3*q.durationRatio) - q.durationRatio)
	q.durationRatio = min(max(q.durationRatio, 1.0/maxDurationRatio), maxDurationRatio)
	q.tail.record(ratio / q.durationRatio)
	s.commonTail.record(ratio / q.durationRatio)
}

// usualDuration returns how long a task of the step should take on a worker of usual
// speed: its declared duration, corrected by the queue's duration ratio.
func (s *Scheduler) usualDuration(j *job, step int) time.Duration {
	ms := float64(j.Steps[step].Demand.DeclaredMillis)
	return time.Duration(ms * s.statsOf(j.Queue).durationRatio * float64(time.Millisecond))
}

// expectedDuration returns how long a task of the step should take on the processors
// of the job's pool, on average over their speeds.
func (s *Scheduler) expectedDuration(j *job, step int) time.Duration {
	return scale(s.usualDuration(j, step), s.poolSpeedOf(j.Pool).slowness)
}

// estimateJob sets the job's estimate, objective, latest start and priority
// class.
func (s *Scheduler) estimateJob(j *job) {
	ends := make([]time.Duration, len(j.Steps))
	j.stepEnds = ends
	for i := range j.Steps {
		var begin time.Duration
		for _, earlier := range j.Steps[i].After {
			begin = max(begin, ends[earlier])
		}
		ends[i] = min(begin+s.expectedDuration(j, i), maxEstimate)
		j.estimate = max(j.estimate, ends[i])
	}
	j.durationError = s.durationErrorOf(j.Queue)
	j.objective = time.Duration(float64(j.estimate)*j.Slack) + j.Target
	j.latestStart = j.arrivedAt + j.objective - j.estimate - networkOverhead
	j.priorityClass = priorityClassOf(&j.DurableJob)
}

// durationErrorOf returns by which share the tasks of the queue may be shorter than
// expected; only shorterShare of them are shorter still.
func (s *Scheduler) durationErrorOf(queue string) float64 {
	tail := s.tailOf(queue)
	if !tail.known() {
		return unknownDurationError
	}
	return max(0, 1-tail.shorter)
}
