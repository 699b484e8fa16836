package ledger

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/carawaylanding/carawaylanding/contract"
)

// TestOutboxLosesNothing runs random histories of appends of which any may be
// lost before or after the sync, and checks that no record left the outbox
// before a majority had synced it.
func TestOutboxLosesNothing(t *testing.T) {
	hosts := []contract.HostID{"c1", "c2", "c3"}
	rapid.Check(t, func(t *rapid.T) {
		box := NewOutbox(contract.LedgerOrigin{Host: "e1", Incarnation: 1}, len(hosts), 10)
		synced := make(map[uint32]map[contract.HostID]bool)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 1).Draw(t, "op") {
			case 0:
				r := record(contract.OutcomeRan, "w1")
				r.Task.Index = uint32(step)
				synced[r.Task.Index] = make(map[contract.HostID]bool)
				box.Add(r)
			case 1:
				h := rapid.SampledFrom(hosts).Draw(t, "host")
				batches := box.Next(day0, h)
				fate := rapid.SampledFrom([]string{"lost", "answer lost", "acknowledged"}).Draw(t, "fate")
				if fate == "lost" {
					continue
				}
				for _, b := range batches {
					for _, r := range b.Records {
						synced[r.Task.Index][h] = true
					}
				}
				if fate == "acknowledged" {
					box.Acked(h, batches)
				}
			}
			checkOutbox(t, box, synced)
		}
	})
}

func checkOutbox(t *rapid.T, box *Outbox, synced map[uint32]map[contract.HostID]bool) {
	inside := make(map[uint32]bool)
	for _, r := range box.open {
		inside[r.Task.Index] = true
	}
	for _, b := range box.batches {
		for _, r := range b.Records {
			inside[r.Task.Index] = true
		}
	}
	unsafe := 0
	for index, on := range synced {
		if len(on) < 2 {
			unsafe++
			must.True(t, inside[index], must.Sprintf("record %d left with syncs on %v", index, on))
		}
	}
	must.True(t, box.Pending() >= unsafe)
	must.Eq(t, box.Pending() >= 10, box.Full())
}

func TestOutboxKeepsLittleForALaggard(t *testing.T) {
	box := NewOutbox(contract.LedgerOrigin{Host: "e1"}, 3, 10)
	const perBatch = 100
	for range 3 * lagWindow / perBatch {
		for range perBatch {
			box.Add(record(contract.OutcomeRan, "w1"))
		}
		for _, h := range []contract.HostID{"c1", "c2"} {
			box.Acked(h, box.Next(day0, h))
		}
	}
	must.Eq(t, 0, box.Pending())
	must.LessEq(t, lagWindow, box.lagging)
	must.False(t, box.Full())
}

func TestPositionIsSafeOnceAMajorityHasIt(t *testing.T) {
	o := NewOutbox(contract.LedgerOrigin{Host: "e"}, 3, 100)
	o.Add(contract.OutcomeRecord{Task: contract.TaskID{Job: "j"}})
	at := o.Position()
	must.False(t, o.SafeThrough(at)) // not in a batch yet
	batches := o.Next(day0, "c1")
	must.Eq(t, at, o.Position())
	o.Acked("c1", batches)
	must.False(t, o.SafeThrough(at))
	o.Acked("c2", batches)
	must.True(t, o.SafeThrough(at))
	o.Add(contract.OutcomeRecord{Task: contract.TaskID{Job: "k"}})
	must.False(t, o.SafeThrough(o.Position()))
	must.True(t, o.SafeThrough(at))
}
