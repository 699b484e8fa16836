package ledger

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/carawaylanding/carawaylanding/contract"
)

// TestOutboxLosesNothing runs random histories of appends, each of which may be
// lost before or after the sync, and checks that no record is removed from the
// outbox before a majority has synced it.
func TestOutboxLosesNothing(t *testing.T) {
	hosts := []contract.HostID{"c1", "c2", "c3"}
	rapid.Check(t, func(t *rapid.T) {
		outbox := NewOutbox(contract.LedgerOrigin{Host: "e1", Incarnation: 1}, len(hosts), 10)
		synced := make(map[uint32]map[contract.HostID]bool)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 1).Draw(t, "op") {
			case 0:
				r := newRecord(contract.OutcomeRan, "w1")
				r.Task.Index = uint32(step)
				synced[r.Task.Index] = make(map[contract.HostID]bool)
				outbox.Add(r)
			case 1:
				h := rapid.SampledFrom(hosts).Draw(t, "host")
				batches := outbox.Next(baseTime, h)
				result := rapid.SampledFrom([]string{"lost", "answer lost", "acknowledged"}).Draw(t, "result")
				if result == "lost" {
					continue
				}
				for _, b := range batches {
					for _, r := range b.Records {
						synced[r.Task.Index][h] = true
					}
				}
				if result == "acknowledged" {
					outbox.Acked(h, batches)
				}
			}
			checkOutbox(t, outbox, synced)
		}
	})
}

// checkOutbox checks that the outbox contains every record that fewer than two
// hosts have synced, and that it counts them as pending. synced holds, by task, the
// hosts that synced the record.
func checkOutbox(t *rapid.T, outbox *Outbox, synced map[uint32]map[contract.HostID]bool) {
	present := make(map[uint32]bool)
	for _, r := range outbox.unbatched {
		present[r.Task.Index] = true
	}
	for _, b := range outbox.batches {
		for _, r := range b.Records {
			present[r.Task.Index] = true
		}
	}
	uncommitted := 0
	for index, syncedOn := range synced {
		if len(syncedOn) < 2 {
			uncommitted++
			must.True(t, present[index], must.Sprintf("record %d was removed but is only synced on %v", index, syncedOn))
		}
	}
	must.True(t, outbox.Pending() >= uncommitted)
	must.Eq(t, outbox.Pending() >= 10, outbox.Full())
}

func TestOutboxBoundsRecordsRetainedForALaggingReplica(t *testing.T) {
	outbox := NewOutbox(contract.LedgerOrigin{Host: "e1"}, 3, 10)
	const recordsPerBatch = 100
	for range 3 * maxRetainedRecords / recordsPerBatch {
		for range recordsPerBatch {
			outbox.Add(newRecord(contract.OutcomeRan, "w1"))
		}
		for _, h := range []contract.HostID{"c1", "c2"} {
			outbox.Acked(h, outbox.Next(baseTime, h))
		}
	}
	must.Eq(t, 0, outbox.Pending())
	must.LessEq(t, maxRetainedRecords, outbox.retained)
	must.False(t, outbox.Full())
}

func TestPositionIsCommittedOnceAMajorityAcknowledges(t *testing.T) {
	o := NewOutbox(contract.LedgerOrigin{Host: "e"}, 3, 100)
	o.Add(contract.OutcomeRecord{Task: contract.TaskID{Job: "j"}})
	position := o.Position()
	must.False(t, o.CommittedThrough(position)) // not in a batch yet
	batches := o.Next(baseTime, "c1")
	must.Eq(t, position, o.Position())
	o.Acked("c1", batches)
	must.False(t, o.CommittedThrough(position))
	o.Acked("c2", batches)
	must.True(t, o.CommittedThrough(position))
	o.Add(contract.OutcomeRecord{Task: contract.TaskID{Job: "k"}})
	must.False(t, o.CommittedThrough(o.Position()))
	must.True(t, o.CommittedThrough(position))
}
