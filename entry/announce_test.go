package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/ledger"
	"github.com/carawaylanding/carawaylanding/record"
	"github.com/carawaylanding/carawaylanding/tables"
)

// syncingSink is an OutcomeSink that stores records, and whose Sync takes a
// given time and returns a given error.
type syncingSink struct {
	records []contract.OutcomeRecord
	syncErr error
	// syncDelay is how long Sync takes.
	syncDelay time.Duration
	// submits counts the jobs submitted to the scheduler, and submitsAtSync is
	// its value at the last call of Sync.
	submits, submitsAtSync *atomic.Int32
}

func (s *syncingSink) Record(r contract.OutcomeRecord) { s.records = append(s.records, r) }

func (s *syncingSink) Sync(ctx context.Context) error {
	s.submitsAtSync.Store(s.submits.Load())
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.syncDelay):
		return s.syncErr
	}
}

// submitAfterOwnerLoss resubmits a job of two tasks whose first owner is gone.
func submitAfterOwnerLoss(t *testing.T, sink *syncingSink) submitResult {
	t.Helper()
	const key, digest = "k1", "d1"
	id := contract.KeyedJobID("thamel", key)
	holder := record.NewHolder(record.Config{}, true, time.Now())
	gone := contract.RecordEpoch{Round: contract.FirstRound, Host: "gone", Incarnation: 7, Attempt: 1}
	granted := holder.Write(time.Now(), &contract.RecordWrite{Job: id, Digest: digest, Epoch: gone, TTL: time.Minute})
	must.Eq(t, contract.RecordGranted, granted.Verdict)
	store := tables.NewStore()
	store.Update(contract.Tables{
		Version: 1,
		Routes:  []contract.Route{{Name: "cards", PathPrefix: "/cards", Pool: "formula"}},
		Pools:   []contract.Pool{{Name: "formula"}},
	})
	e := New(Config{
		Identity:     host.Identity{Ref: host.Ref{Host: "hub1", Incarnation: 3}},
		Tables:       store,
		NewScheduler: func(contract.Pool) dispatch.Scheduler { return countingScheduler{sink.submits} },
		Records: &RecordClient{
			Self:      host.Ref{Host: "hub1", Incarnation: 3},
			Holders:   []RecordHolder{{Host: "hub1", Caller: recordHolder{holder}, Local: true}},
			Peer:      func(host.Ref) Caller { return nil },
			Retention: record.DefaultRetention,
		},
		Outcomes: sink,
		Log:      logr.Discard(),
	})
	spec := contract.JobSpec{Route: "cards", Team: "thamel", Tasks: make([]contract.TaskSpec, 2)}
	return e.submitKeyed(t.Context(), spec, key, digest)
}

// claimSubmits is how often the job is submitted to the scheduler by the claim
// of the first round, which the holders refuse.
const claimSubmits = 1

func newSyncingSink(syncErr error) *syncingSink {
	return &syncingSink{syncErr: syncErr, submits: new(atomic.Int32), submitsAtSync: new(atomic.Int32)}
}

// TestTakeoverIsAnnouncedBeforeItStarts checks that a takeover records the
// tasks as unknown before it starts them, since the previous owner may have
// recorded them as not run.
func TestTakeoverIsAnnouncedBeforeItStarts(t *testing.T) {
	sink := newSyncingSink(nil)
	submitAfterOwnerLoss(t, sink)
	must.Eq(t, claimSubmits+1, sink.submits.Load())
	must.Eq(t, claimSubmits, sink.submitsAtSync.Load())
	must.SliceLen(t, 2, sink.records)
	for i, r := range sink.records {
		must.Eq(t, uint32(i), r.Task.Index)
		must.Eq(t, contract.OutcomeUnknown, r.Outcome)
		must.Eq(t, uint64(2), r.Round)
	}
}

// TestTakeoverStartsNothingThatIsNotAnnounced checks that a takeover starts no
// task if the ledger fails to sync the records of the pending starts.
func TestTakeoverStartsNothingThatIsNotAnnounced(t *testing.T) {
	sink := newSyncingSink(errors.New("no majority"))
	a := submitAfterOwnerLoss(t, sink)
	must.Eq(t, claimSubmits, sink.submits.Load())
	must.True(t, contract.ErrNoQuorum.Is(a.err))
}

// TestTakeoverWaitsForASlowLedger checks that a takeover waits for a ledger
// whose sync takes longer than RecordTimeout: the ledger itself allows an
// append AppendTimeout.
func TestTakeoverWaitsForASlowLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := newSyncingSink(nil)
		sink.syncDelay = ledger.AppendTimeout - time.Millisecond
		submitAfterOwnerLoss(t, sink)
		must.Eq(t, claimSubmits+1, sink.submits.Load())
	})
}
