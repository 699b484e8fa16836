package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/job"
)

// wholeRun is a keyed run that ended with a body of the size.
func wholeRun(bytes int) *jobRun {
	w := host.Ref{Host: "w", Incarnation: 1}
	r := &jobRun{digest: "d", answered: true, job: job.New("k", 1)}
	attempt, _ := r.job.Place(0, w)
	r.job.Send(0, w, attempt)
	r.job.Result(w, &contract.Result{Task: contract.TaskID{Job: "k"}, Outcome: contract.OutcomeRan, Status: 200, Body: make([]byte, bytes)})
	return r
}

func TestKeptAnswersAreBounded(t *testing.T) {
	const retention = time.Minute
	now := time.Unix(1000, 0)
	var k keptAnswers
	first, second, third := wholeRun(maxKeptAnswers/2), wholeRun(maxKeptAnswers/2), wholeRun(1)
	k.add(first, now, retention)
	k.add(second, now, retention)
	must.True(t, first.standing())
	k.add(third, now, retention)
	must.False(t, first.standing())
	_, err := first.outcome()
	must.True(t, contract.ErrAnswerGone.Is(err))
	e, _ := contract.AsError(err)
	must.Eq(t, contract.OutcomeRan, e.Outcome)
	must.True(t, second.standing())
	k.add(wholeRun(1), now.Add(2*retention), retention)
	must.False(t, third.standing())
	must.Len(t, 1, k.runs)
	k.add(wholeRun(maxKeptAnswers+1), now.Add(2*retention), retention)
	must.SliceEmpty(t, k.runs)
}
