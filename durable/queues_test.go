package durable

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawaylanding/carawaylanding/contract"
)

// tables returns tables with one queue of the given name at the prefix /a/.
func tables(version uint64, name, pool string) *contract.QueueTables {
	return &contract.QueueTables{Version: version, Queues: []contract.Queue{{Name: name, Host: "h", PathPrefix: "/a/", Pool: pool}}}
}

// queuedJob returns a job that was matched to the queue.
func queuedJob(id, queue, pool string) contract.DurableJob {
	j := job(id, 1)
	j.Queue, j.Pool = queue, pool
	return j
}

// newStateWithJob returns a state with the job "j" in the queue "q" of the pool "old".
func newStateWithJob() *State {
	s := New()
	s.Apply(&Batch{Tables: tables(1, "q", "old")})
	s.Apply(&Batch{SubmitTables: 1, Submits: []contract.DurableJob{queuedJob("j", "q", "old")}})
	return s
}

// restore returns the state as a member has it that starts from a snapshot.
func restore(t *testing.T, s *State) *State {
	data, err := s.Encode()
	must.NoError(t, err)
	restored, err := Restore(data)
	must.NoError(t, err)
	return restored
}

// TestStoredJobsFollowTheTables guards against a member whose jobs name a pool that their
// route has left, after any sequence of changes, and whether it starts from a snapshot.
func TestStoredJobsFollowTheTables(t *testing.T) {
	none := &contract.QueueTables{Version: 2}
	cases := []struct {
		name        string
		tables      []*contract.QueueTables
		queue, pool string
	}{
		{"another pool", []*contract.QueueTables{tables(2, "q", "new")}, "q", "new"},
		{"an older version", []*contract.QueueTables{tables(1, "q", "new")}, "q", "old"},
		{"dropped", []*contract.QueueTables{none}, "q", "old"},
		{"dropped and added again", []*contract.QueueTables{none, tables(3, "q", "new")}, "q", "new"},
		{"dropped and added under another name", []*contract.QueueTables{none, tables(3, "r", "new")}, "r", "new"},
		{"renamed and dropped", []*contract.QueueTables{tables(2, "r", "new"), {Version: 3}}, "r", "new"},
		{"dropped, long ago", []*contract.QueueTables{none, {Version: 3}, {Version: 4}, tables(5, "r", "new")}, "r", "new"},
	}
	for _, c := range cases {
		for _, snapshots := range []bool{false, true} {
			s := newStateWithJob()
			for i, next := range c.tables {
				if snapshots {
					s = restore(t, s)
				}
				s.Apply(&Batch{LogTime: int64(i+1) * 2 * droppedQueueRetention.Milliseconds(), Tables: next})
			}
			must.Eq(t, c.queue, s.Jobs["j"].Queue, must.Sprint(c.name, snapshots))
			must.Eq(t, c.pool, s.Jobs["j"].Pool, must.Sprint(c.name, snapshots))
		}
	}
}

// TestJobStoredAfterAChangeOfTheTables guards against a job that was admitted by the
// tables before a change and stored after it: nothing would match it later.
func TestJobStoredAfterAChangeOfTheTables(t *testing.T) {
	cases := []struct {
		name  string
		batch Batch
		queue string
	}{
		{"in one batch", Batch{SubmitTables: 1, Tables: tables(2, "q", "new")}, "q"},
		{"renamed", Batch{SubmitTables: 1, Tables: tables(2, "r", "new")}, "r"},
		{"from a leader of an earlier version", Batch{Tables: tables(2, "q", "new")}, "q"},
	}
	for _, c := range cases {
		for _, together := range []bool{true, false} {
			s := New()
			s.Apply(&Batch{Tables: tables(1, "q", "old")})
			b := c.batch
			if !together {
				s.Apply(&Batch{Tables: b.Tables})
				b.Tables = nil
			}
			b.Submits = []contract.DurableJob{queuedJob("j", "q", "old")}
			must.Len(t, 1, s.Apply(&b).Accepted)
			must.Eq(t, c.queue, s.Jobs["j"].Queue, must.Sprint(c.name, together))
			must.Eq(t, "new", s.Jobs["j"].Pool, must.Sprint(c.name, together))
		}
	}
}

// TestSnapshotOfAnEarlierVersionIsMatched guards against a member that takes over the jobs
// of a member whose version leaves them with the pool at their acceptance.
func TestSnapshotOfAnEarlierVersionIsMatched(t *testing.T) {
	s := newStateWithJob()
	s.Tables = *tables(2, "q", "new")
	data, err := s.Encode()
	must.NoError(t, err)
	var fields []msgpack.RawMessage
	must.NoError(t, msgpack.Unmarshal(data, &fields))
	data, err = msgpack.Marshal(fields[:len(fields)-1])
	must.NoError(t, err)
	restored, err := Restore(data)
	must.NoError(t, err)
	must.Eq(t, "new", restored.Jobs["j"].Pool)
}

// TestDroppedQueuesAreForgotten checks that the state does not grow with each queue that
// ever was.
func TestDroppedQueuesAreForgotten(t *testing.T) {
	s := newStateWithJob()
	s.Apply(&Batch{LogTime: 1, Tables: &contract.QueueTables{Version: 2}})
	must.Len(t, 1, s.Dropped)
	later := 2 * droppedQueueRetention.Milliseconds()
	s.Apply(&Batch{LogTime: later, Tables: &contract.QueueTables{Version: 3}})
	must.Len(t, 1, s.Dropped, must.Sprint("a job names it"))
	s.Apply(&Batch{LogTime: later, Cancels: []contract.DurableJobID{"j"}, Tables: &contract.QueueTables{Version: 4}})
	s.Apply(&Batch{LogTime: later, Tables: &contract.QueueTables{Version: 5}})
	must.SliceEmpty(t, s.Dropped)
}

// TestEndedJobsAreNotMatched checks that a change of the tables leaves ended jobs alone.
func TestEndedJobsAreNotMatched(t *testing.T) {
	s := newStateWithJob()
	s.Apply(&Batch{Cancels: []contract.DurableJobID{"j"}})
	must.SliceEmpty(t, s.Apply(&Batch{Tables: tables(2, "q", "new")}).Rematched)
	must.Eq(t, "old", s.Jobs["j"].Pool)
}
