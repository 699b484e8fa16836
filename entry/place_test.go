package entry

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/job"
)

// TestTakeoverTakesNoPlacementOfAnEarlierRun: the pool may still place tasks of
// a run that was refused its claim, under the same job ID. They would start
// beside those that the takeover has yet to find.
func TestTakeoverTakesNoPlacementOfAnEarlierRun(t *testing.T) {
	e := &Entry{}
	run := &jobRun{
		entry:  e,
		digest: "d",
		epoch:  contract.RecordEpoch{Round: contract.FirstRound + 1},
		spec:   contract.JobSpec{Tasks: make([]contract.TaskSpec, 1)},
		job:    job.New("j", 1),
	}
	id := contract.TaskID{Job: "j"}
	w := workerLink{Worker: host.Worker{Identity: host.Identity{Ref: host.Ref{Host: "w1", Incarnation: 1}}}}
	must.Eq(t, []dispatch.Event{dispatch.Finished{Task: id, Worker: w.Ref}}, run.place(id, w))
	must.SliceEmpty(t, run.pending)
	must.SliceEmpty(t, e.plans.take())
}
