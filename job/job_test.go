package job

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

var (
	first  = host.Ref{Host: "w1", Incarnation: 1}
	second = host.Ref{Host: "w2", Incarnation: 1}
)

func ran(i uint32) *contract.Result {
	return &contract.Result{Task: contract.TaskID{Job: "j", Index: i}, Outcome: contract.OutcomeRan, Status: 200}
}

// send places task i at w and sends it.
func send(j *Job, i uint32, w host.Ref) bool {
	attempt, ok := j.Place(i, w)
	return ok && j.Send(i, w, attempt)
}

func TestSentTaskIsNotPlacedAgain(t *testing.T) {
	j := New("j", 1)
	must.True(t, send(j, 0, first))
	_, ok := j.Place(0, second)
	must.False(t, ok)
	must.True(t, j.Unsent(0, first, 1))
	attempt, ok := j.Place(0, second)
	must.True(t, ok)
	must.Eq(t, 2, attempt)
}

func TestResultOfAnotherWorkerIsDropped(t *testing.T) {
	j := New("j", 1)
	send(j, 0, first)
	must.Eq(t, Stray, j.Result(second, ran(0)))
	must.Eq(t, Ending, j.Result(first, ran(0)))
	must.True(t, j.Done())
	must.Nil(t, j.Err())
}

func TestFailedTaskEndsTheJob(t *testing.T) {
	j := New("j", 3)
	send(j, 0, first)
	send(j, 1, second)
	bad := ran(0)
	bad.Status = 500
	j.Result(first, bad)
	must.True(t, j.Done())
	must.False(t, j.Settled())
	_, ok := j.Place(2, first)
	must.False(t, ok)
	must.True(t, contract.ErrTaskFailed.Is(j.Err()))
	j.Result(second, ran(1))
	e, _ := contract.AsError(j.Err())
	must.Eq(t, contract.OutcomePartlyRan, e.Outcome)
}

func TestLostWorkerLeavesItsTasksUnknown(t *testing.T) {
	j := New("j", 2)
	send(j, 0, first)
	j.Lost(first)
	e, ok := contract.AsError(j.Err())
	must.True(t, ok)
	must.Eq(t, contract.OutcomeUnknown, e.Outcome)
	must.Eq(t, contract.OutcomeNotRun, e.Tasks[1].Outcome)
}

func TestPlacedTaskIsNotAskedAbout(t *testing.T) {
	j := New("j", 1)
	attempt, _ := j.Place(0, first)
	ids, _ := j.Held(first)
	must.SliceEmpty(t, ids)
	must.Eq(t, Stray, j.Result(first, ran(0)))
	j.Abort(contract.ErrCancelled, "")
	must.False(t, j.Send(0, first, attempt))
	must.Eq(t, contract.OutcomeNotRun, j.Results()[0].Outcome)
}

func TestReportOfAnEarlierAttemptSaysNothing(t *testing.T) {
	j := New("j", 1)
	send(j, 0, first)
	must.True(t, j.Unsent(0, first, 1))
	send(j, 0, first)
	must.False(t, j.Unsent(0, first, 1))
	must.Eq(t, Ending, j.Result(first, ran(0)))
}

func TestAdoptedTaskWaitsForEachWorkerOfThePlan(t *testing.T) {
	j := New("j", 2)
	for i := range uint32(2) {
		j.Adopt(i, first, 1)
		j.Adopt(i, second, 2)
	}
	must.False(t, j.Unsent(0, first, 2))
	_, ok := j.Place(0, first)
	must.False(t, ok)
	must.True(t, j.Unsent(0, second, 2))
	attempt, ok := j.Place(0, first)
	must.True(t, ok)
	must.Eq(t, 3, attempt)
	j.Lost(first)
	must.False(t, j.Done())
	j.Unsent(1, second, 2)
	must.True(t, contract.ErrUpstreamLost.Is(j.Err()))
}

func TestNearDeadlineATaskThatIsFencedFailsTheJob(t *testing.T) {
	j := New("j", 2)
	send(j, 0, first)
	send(j, 1, second)
	j.Close()
	must.False(t, j.Unsent(0, first, 1))
	must.False(t, j.Done())
	must.False(t, j.Unsent(1, second, 1))
	e, ok := contract.AsError(j.Err())
	must.True(t, ok)
	must.Eq(t, contract.ErrDeadline.Name, e.Kind.Name)
	must.Eq(t, contract.OutcomeNotRun, e.Outcome)
}

func TestLateReportResolvesAnUnknownTask(t *testing.T) {
	j := New("j", 1)
	send(j, 0, first)
	j.Lost(first)
	j.TakeEnded()
	must.True(t, j.Resolve(0, first, contract.OutcomeNotRun, 0, "fenced"))
	must.Len(t, 1, j.TakeEnded())
	must.False(t, j.Resolve(0, first, contract.OutcomeRan, 200, ""))
}
