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

func batch(seq uint64, at time.Time, indexes ...uint32) contract.LedgerBatch {
	b := contract.LedgerBatch{Origin: contract.LedgerOrigin{Host: "e1", Incarnation: 7}, Seq: seq, At: at}
	for _, i := range indexes {
		r := record(contract.OutcomeRan, "w1")
		r.Task.Index = i
		r.At = at
		b.Records = append(b.Records, r)
	}
	return b
}

func TestStoreSurvivesReopening(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	n, err := s.Apply([]contract.LedgerBatch{batch(1, day0, 0, 1), batch(3, day0, 2)})
	must.NoError(t, err)
	must.Eq(t, 2, n)
	n, err = s.Apply([]contract.LedgerBatch{batch(1, day0, 0, 1)})
	must.NoError(t, err)
	must.Eq(t, 0, n, must.Sprint("a resent batch is not applied again"))
	held := s.Held()
	must.NoError(t, s.Close())

	s = openStore(t, dir)
	defer s.Close()
	must.Eq(t, held, s.Held())
	rows, err := s.Job("j")
	must.NoError(t, err)
	must.Len(t, 3, rows)
	none, err := s.Job("j2")
	must.NoError(t, err)
	must.SliceEmpty(t, none)
}

// storeReplica is a replica on its own store.
func storeReplica(t *testing.T) *Replica {
	t.Helper()
	s := openStore(t, t.TempDir())
	t.Cleanup(func() { s.Close() })
	return &Replica{Store: s, Retention: 24 * time.Hour, Log: logr.Discard()}
}

func TestAHostThatWasAwayCatchesUp(t *testing.T) {
	now := time.Now()
	here, away := storeReplica(t), storeReplica(t)
	away.Peers = map[contract.HostID]Holder{"c1": here}
	var batches []contract.LedgerBatch
	for seq := range uint64(3 * maxPullBatches) {
		batches = append(batches, batch(seq+1, now, uint32(seq)))
	}
	_, err := here.Store.Apply(batches)
	must.NoError(t, err)
	_, err = here.Store.Apply([]contract.LedgerBatch{batch(1000, now.Add(-48*time.Hour), 1000)})
	must.NoError(t, err)
	_, err = away.Store.Apply(batches[5:9])
	must.NoError(t, err)

	away.Exchange(t.Context())
	rows, err := away.Store.Job("j")
	must.NoError(t, err)
	must.Len(t, len(batches), rows, must.Sprint("all but the expired batch"))
}

func TestExpireKeepsYoungRows(t *testing.T) {
	r := storeReplica(t)
	old, young := day0, day0.Add(time.Hour)
	for seq := range uint64(2 * expireStep) {
		_, err := r.Store.Apply([]contract.LedgerBatch{batch(seq+1, old, uint32(seq))})
		must.NoError(t, err)
	}
	_, err := r.Store.Apply([]contract.LedgerBatch{batch(500, young, 500)})
	must.NoError(t, err)
	more, err := r.Store.Expire(young)
	must.NoError(t, err)
	must.True(t, more, must.Sprint("one step removes a part"))
	for more {
		more, err = r.Store.Expire(young)
		must.NoError(t, err)
	}
	rows, err := r.Store.Job("j")
	must.NoError(t, err)
	must.Len(t, 1, rows)
	must.Eq(t, []contract.LedgerHeld{{Origin: batch(1, old).Origin, Ranges: SeqSet{{First: 500, Last: 500}}}}, r.Store.Held())
}

// TestARepairedHostAbstains loses the disk of a control host and then another
// host: what the two had synced must not read as absent.
func TestARepairedHostAbstains(t *testing.T) {
	c1, c3 := storeReplica(t), storeReplica(t)
	must.NoError(t, c1.Store.SetFilled())
	must.NoError(t, c3.Store.SetFilled())
	_, err := c1.Store.Apply([]contract.LedgerBatch{batch(1, time.Now(), 0)})
	must.NoError(t, err)
	repaired := storeReplica(t)
	repaired.Peers = map[contract.HostID]Holder{"c1": away{}, "c3": c3}

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	repaired.Exchange(ctx)
	_, err = Read(t.Context(), map[contract.HostID]Holder{"c1": down{}, "c2": repaired, "c3": c3}, "j")
	must.True(t, contract.ErrNoQuorum.Is(err))

	repaired.Peers["c1"] = c1
	repaired.Exchange(t.Context())
	rows, err := Read(t.Context(), map[contract.HostID]Holder{"c1": down{}, "c2": repaired, "c3": c3}, "j")
	must.NoError(t, err)
	must.Len(t, 1, rows)
}

// down is a control host whose link is down.
type down struct{}

func (down) Call(context.Context, contract.Message) (contract.Message, error) {
	return nil, link.ErrDown
}

// away is a control host that does not answer.
type away struct{}

func (away) Call(ctx context.Context, _ contract.Message) (contract.Message, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestWindowOfLoss shows what is lost: an outcome that no control host has
// synced when its entry dies. It reads as unknown, never as "never ran".
func TestWindowOfLoss(t *testing.T) {
	c1, c2 := storeReplica(t), storeReplica(t)
	must.NoError(t, c1.Store.SetFilled())
	must.NoError(t, c2.Store.SetFilled())
	holders := map[contract.HostID]Holder{"c1": c1, "c2": c2, "c3": away{}}
	ctx, die := context.WithCancel(t.Context())
	w := NewWriter(contract.LedgerOrigin{Host: "e1", Incarnation: 1}, holders, DefaultMaxPending)
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	kept := record(contract.OutcomeRan, "w1")
	w.Record(kept)
	must.NoError(t, w.Flush(ctx))
	die()
	must.NoError(t, <-ended)
	lost := record(contract.OutcomeRan, "w1")
	lost.Task.Index = 1
	w.Record(lost)
	must.Eq(t, 1, w.Pending())

	rows, err := Read(t.Context(), holders, "j")
	must.NoError(t, err)
	must.Len(t, 1, rows)
	must.Eq(t, RanOnce, Judge(rows[0]))
	must.Eq(t, kept.Task, rows[0].Records[0].Task)
}

func TestReadNeedsAMajority(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := Read(ctx, map[contract.HostID]Holder{"c1": storeReplica(t), "c2": away{}, "c3": away{}}, "j")
	must.True(t, contract.ErrNoQuorum.Is(err))
}
