package entry

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/job"
)

// TestTakeoverTakesNoPlacementOfAnEarlierRun guards against starting tasks
// twice. If the claim of an earlier run was refused, the scheduler may still
// place its tasks under the same job ID. The takeover must reject these
// placements, because it does not know yet which tasks the previous owner has
// started.
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
	must.SliceEmpty(t, e.placementQueue.takeAll())
}
