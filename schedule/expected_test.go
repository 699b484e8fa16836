package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

// TestReturnAfterAStop replays the first moments of a leader after a stop of everything:
// the callers of half a second come back before any agent has attached. What ten workers
// can start in time once they have attached is admitted, but for one job.
func TestReturnAfterAStop(t *testing.T) {
	for _, c := range []struct {
		name            string
		connected       int
		least, mostJobs int
	}{
		{"all agents are connected", 10, 9, 10},
		{"half of them are", 5, 4, 5},
		{"none is, and a lease is as long as jobs may wait", 0, 0, 0},
	} {
		h := &harness{t: t, state: durable.New(), now: time.Second}
		var batch durable.Batch
		for i := range 11 {
			host := contract.HostID(fmt.Sprint("w", i))
			batch.RegisteredAgents = append(batch.RegisteredAgents, durable.AgentRegistration{
				Host: host, Worker: contract.WorkerAnnouncement{ID: host, Pool: "formula", Capacity: contract.Capacity{MilliCPU: 10, MemoryMB: 1000}},
			})
		}
		h.state.Apply(&batch)
		h.sch = New(2, h.state, h.now)
		h.worker("w10", 10)
		blocker := testJob("blocker", step(1, 10, 5000))
		must.True(t, h.sch.Admit(h.now, h.now, &blocker).OK)
		h.sch.AddTransient(durable.NewJob(&blocker, 0), h.now, false)
		h.place()
		for i := range c.connected {
			h.sch.AgentConnected(h.now, contract.HostID(fmt.Sprint("w", i)))
		}
		admitted := 0
		for i := range 40 {
			// In time if it starts within 180 ms, of use if it ends within 840 ms.
			d := testJob(fmt.Sprint("j", i), step(1, 10, 200))
			d.Priority = 1
			if adm := h.sch.Admit(h.now, h.now, &d); adm.OK && adm.PredictedWait < 180*ms {
				admitted++
				h.sch.AddTransient(durable.NewJob(&d, 0), h.now, false)
			}
		}
		must.Between(t, c.least, admitted, c.mostJobs, must.Sprint(c.name))
	}
}
