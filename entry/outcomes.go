package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/ledger"
)

// boundedSink is an OutcomeSink with limited capacity.
type boundedSink interface {
	// Full reports whether new work must be refused, because its outcomes could
	// be lost otherwise.
	Full() bool
}

// ledgerRetryAfter is the Retry-After time while the ledger is full or can't be
// synced.
const ledgerRetryAfter = 5 * time.Second

// checkLedgerCapacity returns an error while the ledger has no capacity for the
// outcomes of new work.
func (e *Entry) checkLedgerCapacity() error {
	if s, ok := e.cfg.Outcomes.(boundedSink); ok && s.Full() {
		return contract.ErrOverload.WithRetryAfter(ledgerRetryAfter, "the outcome ledger is full: the operator brings back a majority of the control hosts")
	}
	return nil
}

// syncedSink is an OutcomeSink that can wait until its records are durable.
type syncedSink interface {
	// Sync waits until every record taken before the call is durable.
	Sync(ctx context.Context) error
}

// recordPendingStarts records tasks that are about to start under a later round
// as unknown, and waits until these records are durable. The previous owner may
// have recorded that the tasks were not run. If this entry fails before it
// records their ends, that outcome, which may be wrong by then, must not remain
// the latest.
func (r *jobRun) recordPendingStarts(tasks []uint32) error {
	s, ok := r.entry.cfg.Outcomes.(syncedSink)
	if !ok {
		return nil
	}
	for _, i := range tasks {
		r.entry.recordOutcome(contract.OutcomeRecord{
			Task:    contract.TaskID{Job: r.job.ID(), Index: i},
			Team:    r.spec.Team,
			Route:   r.route.Name,
			Outcome: contract.OutcomeUnknown,
			Round:   r.epoch.Round,
			Reason:  "about to start",
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), ledger.AppendTimeout)
	defer cancel()
	return s.Sync(ctx)
}

// recordEnd records the outcome of the request if it was placed.
func (x *exchange) recordEnd(answer http.Header, err error) {
	if x.attempt == 0 {
		return
	}
	rec := contract.OutcomeRecord{
		Task:              x.id,
		Team:              x.team,
		Route:             x.route.Name,
		Worker:            x.worker.Host,
		Incarnation:       x.worker.Incarnation,
		Attempt:           x.attempt,
		PossibleDuplicate: x.mayHaveRun,
	}
	x.entry.recordSingle(rec, answer, err)
}

// recordSingle records the outcome of a single request that was placed at a
// worker. The outcome is taken from the answer's header if it has one, else
// from err; without either it is unknown.
func (e *Entry) recordSingle(rec contract.OutcomeRecord, answer http.Header, err error) {
	rec.Outcome = contract.OutcomeUnknown
	if typed, ok := contract.AsError(err); ok {
		rec.Outcome = typed.Outcome
		rec.Reason = typed.Message
	}
	if text := answer.Get(forward.HeaderOutcome); text != "" {
		if err := rec.Outcome.UnmarshalText([]byte(text)); err != nil {
			rec.Reason = err.Error()
		}
	}
	if rec.PossibleDuplicate && rec.Outcome == contract.OutcomeNotRun {
		rec.Outcome = contract.OutcomeUnknown
	}
	e.recordOutcome(rec)
}

// recordUnmatchedResult records a result of a job that this process does not
// know, because the job was removed or the entry restarted. The record resolves
// an outcome that was unknown. A result that reports the task as not run at w
// is ignored, because a later attempt may have run.
func (e *Entry) recordUnmatchedResult(w host.Ref, m *contract.Result) {
	if m.Outcome == contract.OutcomeNotRun {
		return
	}
	e.recordOutcome(contract.OutcomeRecord{
		Task:        m.Task,
		Outcome:     m.Outcome,
		Status:      m.Status,
		Worker:      w.Host,
		Incarnation: w.Incarnation,
		Attempt:     m.Attempt,
		Reason:      m.Reason,
	})
}

func (e *Entry) recordOutcome(r contract.OutcomeRecord) {
	if e.cfg.Outcomes == nil {
		return
	}
	r.Entry = e.cfg.Identity.Host
	r.At = time.Now()
	e.cfg.Outcomes.Record(r)
}
