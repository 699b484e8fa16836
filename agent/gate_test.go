package agent

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

const self = contract.Incarnation(7)

func start(i uint32) *contract.Start {
	return &contract.Start{Task: contract.TaskID{Job: "j", Index: i}, To: self}
}

func TestGateRefusesAnotherIncarnation(t *testing.T) {
	g := NewGate(self, contract.Capacity{Slots: 1})
	s := start(0)
	s.To = self + 1
	verdict, _ := g.Offer(s)
	must.Eq(t, VerdictRefuse, verdict)
}

func TestGateRunsATaskOnce(t *testing.T) {
	g := NewGate(self, contract.Capacity{Slots: 2})
	first, _ := g.Offer(start(0))
	again, _ := g.Offer(start(0))
	must.Eq(t, VerdictRun, first)
	must.Eq(t, VerdictKnown, again)
	g.Finish(start(0).Task)
	after, _ := g.Offer(start(0))
	must.Eq(t, VerdictKnown, after)
}

func TestGateNeverRunsWhatIsFenced(t *testing.T) {
	g := NewGate(self, contract.Capacity{Slots: 1})
	g.Offer(start(0))
	waiting, _ := g.Offer(start(1))
	must.Eq(t, VerdictWait, waiting)
	reports := g.Fence([]contract.TaskID{start(0).Task, start(1).Task, start(2).Task})
	must.Eq(t, contract.TaskRunning, reports[0].State)
	must.Eq(t, contract.TaskFenced, reports[1].State)
	must.Eq(t, contract.TaskFenced, reports[2].State)
	must.SliceEmpty(t, g.Finish(start(0).Task))
	late, _ := g.Offer(start(2))
	must.Eq(t, VerdictRefuse, late)
}

func TestGateAdmitsInOrder(t *testing.T) {
	g := NewGate(self, contract.Capacity{Slots: 1})
	for i := range uint32(3) {
		g.Offer(start(i))
	}
	next := g.Finish(start(0).Task)
	must.Len(t, 1, next)
	must.Eq(t, start(1).Task, next[0].Task)
}
