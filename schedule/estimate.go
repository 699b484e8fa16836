package schedule

import "time"

// queueStats corrects declared times by what the queue's tasks took.
type queueStats struct {
	ratio float64
}

const (
	// ratioWeight is the weight of a new sample of a queue.
	ratioWeight = 0.02
	// ratioLimit bounds the correction either way.
	ratioLimit = 5
	// orderOverhead is the time that a job spends outside its tasks: the hops
	// from the caller to the worker and back.
	orderOverhead = 15 * time.Millisecond
)

func (s *Scheduler) stats(queue string) *queueStats {
	q := s.queues[queue]
	if q == nil {
		q = &queueStats{ratio: 1}
		s.queues[queue] = q
	}
	return q
}

// learn takes how long a task took against what was expected, on a worker
// that is not suspected.
func (s *Scheduler) learn(queue string, took float64, w *Worker) {
	if w.suspect() {
		return
	}
	q := s.stats(queue)
	q.ratio *= 1 + ratioWeight*(min(took, 3)-1)
	q.ratio = min(max(q.ratio, 1.0/ratioLimit), ratioLimit)
}

// expected is how long a task of the step takes on a sound worker.
func (s *Scheduler) expected(j *job, step int) time.Duration {
	ms := float64(j.Steps[step].Need.Millis)
	return time.Duration(ms * s.stats(j.Queue).ratio * float64(time.Millisecond))
}

// estimateJob sets the job's expected time, objective and latest start.
func (s *Scheduler) estimateJob(j *job) {
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		var begin time.Duration
		for _, a := range j.Steps[i].After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + s.expected(j, i)
		j.estimate = max(j.estimate, ends[i])
	}
	j.objective = time.Duration(float64(j.estimate)*j.Slack) + j.Target
	j.latestStart = j.arrived + j.objective - j.estimate - orderOverhead
	j.rank = rankOf(&j.DurableJob)
}
