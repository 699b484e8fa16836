package job

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

var (
	worker1 = host.Ref{Host: "w1", Incarnation: 1}
	worker2 = host.Ref{Host: "w2", Incarnation: 1}
)

// ran returns the result of a run of task i with status 200.
func ran(i uint32) *contract.Result {
	return &contract.Result{Task: contract.TaskID{Job: "j", Index: i}, Outcome: contract.OutcomeRan, Status: 200}
}

// send places task i on w, records its start as sent, and reports whether both
// were allowed.
func send(j *Job, i uint32, w host.Ref) bool {
	attempt, ok := j.Place(i, w)
	return ok && j.MarkSent(i, w, attempt)
}

func TestSentTaskIsNotPlacedAgain(t *testing.T) {
	j := New("j", 1)
	must.True(t, send(j, 0, worker1))
	_, ok := j.Place(0, worker2)
	must.False(t, ok)
	must.True(t, j.NotStarted(0, worker1, 1))
	attempt, ok := j.Place(0, worker2)
	must.True(t, ok)
	must.Eq(t, 2, attempt)
}

func TestResultOfAnotherWorkerIsDropped(t *testing.T) {
	j := New("j", 1)
	send(j, 0, worker1)
	must.Eq(t, Ignored, j.Result(worker2, ran(0)))
	must.Eq(t, TaskEnded, j.Result(worker1, ran(0)))
	must.True(t, j.Done())
	must.Nil(t, j.Err())
}

func TestFailedTaskEndsTheJob(t *testing.T) {
	j := New("j", 3)
	send(j, 0, worker1)
	send(j, 1, worker2)
	failed := ran(0)
	failed.Status = 500
	j.Result(worker1, failed)
	must.True(t, j.Done())
	must.False(t, j.AllEnded())
	_, ok := j.Place(2, worker1)
	must.False(t, ok)
	must.True(t, contract.ErrTaskFailed.Is(j.Err()))
	j.Result(worker2, ran(1))
	e, _ := contract.AsError(j.Err())
	must.Eq(t, contract.OutcomePartlyRan, e.Outcome)
}

func TestLostWorkerLeavesItsTasksUnknown(t *testing.T) {
	j := New("j", 2)
	send(j, 0, worker1)
	j.WorkerLost(worker1)
	e, ok := contract.AsError(j.Err())
	must.True(t, ok)
	must.Eq(t, contract.OutcomeUnknown, e.Outcome)
	must.Eq(t, contract.OutcomeNotRun, e.Tasks[1].Outcome)
}

func TestPlacedTaskIsNotTreatedAsSent(t *testing.T) {
	j := New("j", 1)
	attempt, _ := j.Place(0, worker1)
	ids, _ := j.UnfinishedAt(worker1)
	must.SliceEmpty(t, ids)
	must.Eq(t, Ignored, j.Result(worker1, ran(0)))
	j.Abort(contract.ErrCancelled, "")
	must.False(t, j.MarkSent(0, worker1, attempt))
	must.Eq(t, contract.OutcomeNotRun, j.Results()[0].Outcome)
}

func TestReportOfAnEarlierAttemptSaysNothing(t *testing.T) {
	j := New("j", 1)
	send(j, 0, worker1)
	must.True(t, j.NotStarted(0, worker1, 1))
	send(j, 0, worker1)
	must.False(t, j.NotStarted(0, worker1, 1))
	must.Eq(t, TaskEnded, j.Result(worker1, ran(0)))
}

func TestAdoptedTaskWaitsForEachWorkerOfThePlan(t *testing.T) {
	j := New("j", 2)
	for i := range uint32(2) {
		j.Adopt(i, worker1, 1)
		j.Adopt(i, worker2, 2)
	}
	must.False(t, j.NotStarted(0, worker1, 2))
	_, ok := j.Place(0, worker1)
	must.False(t, ok)
	must.True(t, j.NotStarted(0, worker2, 2))
	attempt, ok := j.Place(0, worker1)
	must.True(t, ok)
	must.Eq(t, 3, attempt)
	j.WorkerLost(worker1)
	must.False(t, j.Done())
	j.NotStarted(1, worker2, 2)
	must.True(t, contract.ErrUpstreamLost.Is(j.Err()))
}

func TestNearDeadlineATaskThatIsFencedFailsTheJob(t *testing.T) {
	j := New("j", 2)
	send(j, 0, worker1)
	send(j, 1, worker2)
	j.StopPlacement()
	must.False(t, j.NotStarted(0, worker1, 1))
	must.False(t, j.Done())
	must.False(t, j.NotStarted(1, worker2, 1))
	e, ok := contract.AsError(j.Err())
	must.True(t, ok)
	must.Eq(t, contract.ErrDeadline.Name, e.Kind.Name)
	must.Eq(t, contract.OutcomeNotRun, e.Outcome)
}

func TestLateReportResolvesAnUnknownTask(t *testing.T) {
	j := New("j", 1)
	send(j, 0, worker1)
	j.WorkerLost(worker1)
	j.TakeEnded()
	must.True(t, j.Resolve(0, worker1, contract.OutcomeNotRun, 0, "fenced"))
	must.Len(t, 1, j.TakeEnded())
	must.False(t, j.Resolve(0, worker1, contract.OutcomeRan, 200, ""))
}
