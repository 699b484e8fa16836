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

// strictSink keeps records, and syncs them or fails to.
type strictSink struct {
	records []contract.OutcomeRecord
	fault   error
	// lag is how long a sync takes.
	lag time.Duration
	// submits counts the work that had reached the pool at the last sync.
	submits, seen *atomic.Int32
}

func (s *strictSink) Record(r contract.OutcomeRecord) { s.records = append(s.records, r) }

func (s *strictSink) Sync(ctx context.Context) error {
	s.seen.Store(s.submits.Load())
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.lag):
		return s.fault
	}
}

// takeOverFrom resubmits a job of two tasks whose first owner is gone.
func takeOverFrom(t *testing.T, sink *strictSink) answered {
	t.Helper()
	const key, digest = "k1", "d1"
	id := contract.KeyedJobID("thamel", key)
	holder := record.NewHolder(record.Config{}, true, time.Now())
	gone := contract.RecordEpoch{Round: contract.FirstRound, Host: "gone", Incarnation: 7, Attempt: 1}
	granted := holder.Write(time.Now(), &contract.RecordWrite{Job: id, Digest: digest, Epoch: gone, TTL: time.Minute})
	must.Eq(t, contract.RecordGranted, granted.Verdict)
	h := tables.NewHolder()
	h.Offer(contract.Tables{
		Version: 1,
		Routes:  []contract.Route{{Name: "cards", PathPrefix: "/cards", Pool: "formula"}},
		Pools:   []contract.Pool{{Name: "formula"}},
	})
	e := New(Config{
		Identity:     host.Identity{Ref: host.Ref{Host: "hub1", Incarnation: 3}},
		Tables:       h,
		NewScheduler: func(contract.Pool) dispatch.Scheduler { return countingScheduler{sink.submits} },
		Records: &Records{
			Self:      host.Ref{Host: "hub1", Incarnation: 3},
			Holders:   []Holder{{Host: "hub1", Caller: recordHolder{holder}, Local: true}},
			Peer:      func(host.Ref) Caller { return nil },
			Retention: record.DefaultRetention,
		},
		Outcomes: sink,
		Log:      logr.Discard(),
	})
	spec := contract.JobSpec{Route: "cards", Team: "thamel", Tasks: make([]contract.TaskSpec, 2)}
	return e.answerKeyed(t.Context(), spec, key, digest)
}

// claimSubmits is how often the claim of the first round, which the holders
// refuse, offers its tasks to the pool.
const claimSubmits = 1

func newStrictSink(fault error) *strictSink {
	return &strictSink{fault: fault, submits: new(atomic.Int32), seen: new(atomic.Int32)}
}

// TestTakeoverIsAnnouncedBeforeItStarts: the owner before may have recorded the
// tasks as not run.
func TestTakeoverIsAnnouncedBeforeItStarts(t *testing.T) {
	sink := newStrictSink(nil)
	takeOverFrom(t, sink)
	must.Eq(t, claimSubmits+1, sink.submits.Load())
	must.Eq(t, claimSubmits, sink.seen.Load())
	must.SliceLen(t, 2, sink.records)
	for i, r := range sink.records {
		must.Eq(t, uint32(i), r.Task.Index)
		must.Eq(t, contract.OutcomeUnknown, r.Outcome)
		must.Eq(t, uint64(2), r.Round)
	}
}

// TestTakeoverStartsNothingThatIsNotAnnounced: a ledger that does not sync is
// refused work under a later round.
func TestTakeoverStartsNothingThatIsNotAnnounced(t *testing.T) {
	sink := newStrictSink(errors.New("no majority"))
	a := takeOverFrom(t, sink)
	must.Eq(t, claimSubmits, sink.submits.Load())
	must.True(t, contract.ErrNoQuorum.Is(a.err))
}

// TestTakeoverWaitsForASlowLedger: a disk that needs longer for a sync than the
// holders of records may need for an answer refuses no takeover; the ledger
// itself gives an append as long.
func TestTakeoverWaitsForASlowLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := newStrictSink(nil)
		sink.lag = ledger.AppendTimeout - time.Millisecond
		takeOverFrom(t, sink)
		must.Eq(t, claimSubmits+1, sink.submits.Load())
	})
}
