package agent

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

const selfIncarnation = contract.Incarnation(7)

func firstAttempt(i uint32) *contract.Start { return startWithAttempt(i, 1) }

func startWithAttempt(i, attempt uint32) *contract.Start {
	return &contract.Start{Task: contract.TaskID{Job: "j", Index: i}, To: selfIncarnation, Attempt: attempt}
}

func TestGateRefusesAnotherIncarnation(t *testing.T) {
	g := NewGate(selfIncarnation, contract.Capacity{Slots: 1})
	s := firstAttempt(0)
	s.To = selfIncarnation + 1
	verdict, _ := g.Offer(s)
	must.Eq(t, VerdictRefuse, verdict)
}

func TestGateRunsATaskOnce(t *testing.T) {
	g := NewGate(selfIncarnation, contract.Capacity{Slots: 2})
	first, _ := g.Offer(firstAttempt(0))
	again, _ := g.Offer(firstAttempt(0))
	must.Eq(t, VerdictRun, first)
	must.Eq(t, VerdictDuplicate, again)
	g.Finish(firstAttempt(0).Task, true)
	for n := range uint32(3) {
		after, _ := g.Offer(startWithAttempt(0, n+1))
		must.Eq(t, VerdictDuplicate, after)
	}
}

func TestGateNeverRunsWhatIsFenced(t *testing.T) {
	g := NewGate(selfIncarnation, contract.Capacity{Slots: 1})
	g.Offer(firstAttempt(0))
	waiting, _ := g.Offer(firstAttempt(1))
	must.Eq(t, VerdictWait, waiting)
	want := []contract.TaskState{contract.TaskRunning, contract.TaskFenced, contract.TaskFenced}
	for i, state := range want {
		must.Eq(t, state, g.Fence(firstAttempt(uint32(i)).Task, 1))
	}
	must.SliceEmpty(t, g.Finish(firstAttempt(0).Task, true))
	fenced, _ := g.Offer(firstAttempt(2))
	must.Eq(t, VerdictRefuse, fenced)
	next, _ := g.Offer(startWithAttempt(2, 2))
	must.Eq(t, VerdictRun, next)
}

func TestGateAcceptsANewAttemptOnlyIfTheUpstreamWasNotReached(t *testing.T) {
	g := NewGate(selfIncarnation, contract.Capacity{Slots: 1})
	g.Offer(firstAttempt(0))
	g.Finish(firstAttempt(0).Task, false)
	same, _ := g.Offer(firstAttempt(0))
	must.Eq(t, VerdictRefuse, same)
	next, _ := g.Offer(startWithAttempt(0, 2))
	must.Eq(t, VerdictRun, next)
}

func TestGateWaitsForMemory(t *testing.T) {
	g := NewGate(selfIncarnation, contract.Capacity{Slots: 8, MemoryMB: 100})
	first, second := firstAttempt(0), firstAttempt(1)
	first.Demand.MemoryMB = 60
	second.Demand.MemoryMB = 60
	verdict, _ := g.Offer(first)
	must.Eq(t, VerdictRun, verdict)
	verdict, _ = g.Offer(second)
	must.Eq(t, VerdictWait, verdict)
	must.Eq(t, []*contract.Start{second}, g.Finish(first.Task, true))
}

func TestGateAdmitsInOrder(t *testing.T) {
	g := NewGate(selfIncarnation, contract.Capacity{Slots: 1})
	for i := range uint32(3) {
		g.Offer(firstAttempt(i))
	}
	next := g.Finish(firstAttempt(0).Task, true)
	must.Len(t, 1, next)
	must.Eq(t, firstAttempt(1).Task, next[0].Task)
}

func TestGateForgetsOnlyWhatEndedLongAgo(t *testing.T) {
	const keep = 3
	g := NewGate(selfIncarnation, contract.Capacity{Slots: 2})
	g.Offer(firstAttempt(0))
	g.Offer(firstAttempt(1))
	g.Finish(firstAttempt(0).Task, true)
	for range keep {
		g.Sweep(keep)
		verdict, _ := g.Offer(firstAttempt(0))
		must.Eq(t, VerdictDuplicate, verdict)
	}
	g.Sweep(keep)
	must.Nil(t, g.task(firstAttempt(0).Task))
	must.NotNil(t, g.task(firstAttempt(1).Task))
}
