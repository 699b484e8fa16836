package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

func openStore(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := OpenStore(dir)
	must.NoError(t, err)
	return s
}

// newBatch returns a batch of origin e1. It has, for each index, a record of a task
// of job j that ran.
func newBatch(seq uint64, at time.Time, indexes ...uint32) contract.LedgerBatch {
	b := contract.LedgerBatch{Origin: contract.LedgerOrigin{Host: "e1", Incarnation: 7}, Seq: seq, At: at}
	for _, i := range indexes {
		r := newRecord(contract.OutcomeRan, "w1")
		r.Task.Index = i
		r.At = at
		b.Records = append(b.Records, r)
	}
	return b
}

func TestStoreSurvivesReopening(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	n, err := s.Apply([]contract.LedgerBatch{newBatch(1, baseTime, 0, 1), newBatch(3, baseTime, 2)})
	must.NoError(t, err)
	must.Eq(t, 2, n)
	n, err = s.Apply([]contract.LedgerBatch{newBatch(1, baseTime, 0, 1)})
	must.NoError(t, err)
	must.Eq(t, 0, n, must.Sprint("a resent batch is not applied again"))
	before := s.BatchSets()
	must.NoError(t, s.Close())

	s = openStore(t, dir)
	defer s.Close()
	must.Eq(t, before, s.BatchSets())
	rows, err := s.Job("j")
	must.NoError(t, err)
	must.Len(t, 3, rows)
	none, err := s.Job("j2")
	must.NoError(t, err)
	must.SliceEmpty(t, none)
}

// newReplica returns a replica with a new store of its own and no peers.
func newReplica(t *testing.T) *Replica {
	t.Helper()
	s := openStore(t, t.TempDir())
	t.Cleanup(func() { s.Close() })
	return &Replica{Store: s, Retention: 24 * time.Hour, Log: logr.Discard()}
}

func TestAHostThatWasAwayCatchesUp(t *testing.T) {
	now := time.Now()
	upToDate, lagging := newReplica(t), newReplica(t)
	lagging.Peers = map[contract.HostID]ReplicaClient{"c1": upToDate}
	var batches []contract.LedgerBatch
	for seq := range uint64(3 * maxPullBatches) {
		batches = append(batches, newBatch(seq+1, now, uint32(seq)))
	}
	_, err := upToDate.Store.Apply(batches)
	must.NoError(t, err)
	_, err = upToDate.Store.Apply([]contract.LedgerBatch{newBatch(1000, now.Add(-48*time.Hour), 1000)})
	must.NoError(t, err)
	_, err = lagging.Store.Apply(batches[5:9])
	must.NoError(t, err)

	lagging.Exchange(t.Context())
	rows, err := lagging.Store.Job("j")
	must.NoError(t, err)
	must.Len(t, len(batches), rows, must.Sprint("all batches but the expired one"))
}

func TestExpireKeepsYoungRows(t *testing.T) {
	r := newReplica(t)
	old, young := baseTime, baseTime.Add(time.Hour)
	for seq := range uint64(2 * maxExpiredPerTx) {
		_, err := r.Store.Apply([]contract.LedgerBatch{newBatch(seq+1, old, uint32(seq))})
		must.NoError(t, err)
	}
	_, err := r.Store.Apply([]contract.LedgerBatch{newBatch(500, young, 500)})
	must.NoError(t, err)
	more, err := r.Store.Expire(young)
	must.NoError(t, err)
	must.True(t, more, must.Sprint("one call removes at most maxExpiredPerTx batches"))
	for more {
		more, err = r.Store.Expire(young)
		must.NoError(t, err)
	}
	rows, err := r.Store.Job("j")
	must.NoError(t, err)
	must.Len(t, 1, rows)
	must.Eq(t, []contract.LedgerBatchSet{{Origin: newBatch(1, old).Origin, Ranges: SeqSet{{First: 500, Last: 500}}}}, r.Store.BatchSets())
}

// TestARepairedHostAbstains replaces the disk of a control host and then loses
// another host. Outcomes that only these two hosts had synced must not be read as
// absent: until the new disk is backfilled, its host does not count towards a
// majority.
func TestARepairedHostAbstains(t *testing.T) {
	c1, c3 := newReplica(t), newReplica(t)
	must.NoError(t, c1.Store.SetFilled())
	must.NoError(t, c3.Store.SetFilled())
	_, err := c1.Store.Apply([]contract.LedgerBatch{newBatch(1, time.Now(), 0)})
	must.NoError(t, err)
	repaired := newReplica(t)
	repaired.Peers = map[contract.HostID]ReplicaClient{"c1": unresponsiveReplica{}, "c3": c3}

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	repaired.Exchange(ctx)
	_, err = Read(t.Context(), map[contract.HostID]ReplicaClient{"c1": disconnectedReplica{}, "c2": repaired, "c3": c3}, "j")
	must.True(t, contract.ErrNoQuorum.Is(err))

	repaired.Peers["c1"] = c1
	repaired.Exchange(t.Context())
	rows, err := Read(t.Context(), map[contract.HostID]ReplicaClient{"c1": disconnectedReplica{}, "c2": repaired, "c3": c3}, "j")
	must.NoError(t, err)
	must.Len(t, 1, rows)
}

// disconnectedReplica is a control host whose link is down, so that calls fail at
// once.
type disconnectedReplica struct{}

func (disconnectedReplica) Call(context.Context, contract.Message) (contract.Message, error) {
	return nil, link.ErrDown
}

// unresponsiveReplica is a control host that never answers, so that calls time
// out.
type unresponsiveReplica struct{}

func (unresponsiveReplica) Call(ctx context.Context, _ contract.Message) (contract.Message, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestWindowOfLoss checks the case in which an outcome is lost: its entry stops
// before any control host has synced it. The ledger then has no row for the task,
// which reads as unknown and not as never run.
func TestWindowOfLoss(t *testing.T) {
	c1, c2 := newReplica(t), newReplica(t)
	must.NoError(t, c1.Store.SetFilled())
	must.NoError(t, c2.Store.SetFilled())
	replicas := map[contract.HostID]ReplicaClient{"c1": c1, "c2": c2, "c3": unresponsiveReplica{}}
	ctx, stop := context.WithCancel(t.Context())
	w := NewWriter(contract.LedgerOrigin{Host: "e1", Incarnation: 1}, replicas, DefaultMaxPending)
	runDone := make(chan error, 1)
	go func() { runDone <- w.Run(ctx) }()
	synced := newRecord(contract.OutcomeRan, "w1")
	w.Record(synced)
	must.NoError(t, w.Flush(ctx))
	stop()
	must.NoError(t, <-runDone)
	lost := newRecord(contract.OutcomeRan, "w1")
	lost.Task.Index = 1
	w.Record(lost)
	must.Eq(t, 1, w.Pending())

	rows, err := Read(t.Context(), replicas, "j")
	must.NoError(t, err)
	must.Len(t, 1, rows)
	must.Eq(t, RanOnce, RowVerdict(rows[0]))
	must.Eq(t, synced.Task, rows[0].Records[0].Task)
}

func TestReadNeedsAMajority(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := Read(ctx, map[contract.HostID]ReplicaClient{"c1": newReplica(t), "c2": unresponsiveReplica{}, "c3": unresponsiveReplica{}}, "j")
	must.True(t, contract.ErrNoQuorum.Is(err))
}
