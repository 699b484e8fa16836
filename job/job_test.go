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

func TestSentTaskIsNotPlacedAgain(t *testing.T) {
	j := New("j", 1)
	_, ok := j.Place(0, first)
	must.True(t, ok)
	_, ok = j.Place(0, second)
	must.False(t, ok)
	must.True(t, j.Unsent(0, first, 1))
	attempt, ok := j.Place(0, second)
	must.True(t, ok)
	must.Eq(t, 2, attempt)
}

func TestResultOfAnotherWorkerIsDropped(t *testing.T) {
	j := New("j", 1)
	j.Place(0, first)
	must.Eq(t, Stray, j.Result(second, ran(0)))
	must.Eq(t, Ending, j.Result(first, ran(0)))
	must.True(t, j.Done())
	must.Nil(t, j.Err())
}

func TestFailedTaskEndsTheJob(t *testing.T) {
	j := New("j", 3)
	j.Place(0, first)
	j.Place(1, second)
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
	j.Place(0, first)
	j.Lost(first)
	e, ok := contract.AsError(j.Err())
	must.True(t, ok)
	must.Eq(t, contract.OutcomeUnknown, e.Outcome)
	must.Eq(t, contract.OutcomeNotRun, e.Tasks[1].Outcome)
}
