package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/job"
)

// completedRun returns a run with an idempotency key that was answered with a
// body of the given size in bytes.
func completedRun(bytes int) *jobRun {
	w := host.Ref{Host: "w", Incarnation: 1}
	r := &jobRun{digest: "d", answered: true, job: job.New("k", 1)}
	attempt, _ := r.job.Place(0, w)
	r.job.MarkSent(0, w, attempt)
	r.job.Result(w, &contract.Result{Task: contract.TaskID{Job: "k"}, Outcome: contract.OutcomeRan, Status: 200, Body: make([]byte, bytes)})
	return r
}

// TestAnswerCacheIsBounded checks that the oldest answers are evicted by total
// size and by age, and that an evicted answer is reported as gone.
func TestAnswerCacheIsBounded(t *testing.T) {
	const retention = time.Minute
	now := time.Unix(1000, 0)
	const limit = DefaultCachedAnswerBytes
	cache := answerCache{limit: limit}
	first, second, third := completedRun(limit/2), completedRun(limit/2), completedRun(1)
	cache.add(first, now, retention)
	cache.add(second, now, retention)
	must.True(t, first.reusable())
	cache.add(third, now, retention)
	must.False(t, first.reusable())
	_, err := first.outcome()
	must.True(t, contract.ErrAnswerGone.Is(err))
	e, _ := contract.AsError(err)
	must.Eq(t, contract.OutcomeRan, e.Outcome)
	must.True(t, second.reusable())
	cache.add(completedRun(1), now.Add(2*retention), retention)
	must.False(t, third.reusable())
	must.Len(t, 1, cache.answers)
	cache.add(completedRun(limit+1), now.Add(2*retention), retention)
	must.SliceEmpty(t, cache.answers)
}
