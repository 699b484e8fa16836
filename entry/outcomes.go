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

// boundedSink is an OutcomeSink that can be full.
type boundedSink interface {
	// Full reports whether new work must be refused, so that no outcome is
	// forgotten.
	Full() bool
}

// ledgerWait is when a refused caller may come back once the ledger is full.
const ledgerWait = 5 * time.Second

// ledgerRoom fails while the ledger can't take the outcomes of new work.
func (e *Entry) ledgerRoom() error {
	if s, ok := e.cfg.Outcomes.(boundedSink); ok && s.Full() {
		return contract.ErrOverload.Refuse(ledgerWait, "the outcome ledger is full: the operator brings back a majority of the control hosts")
	}
	return nil
}

// syncedSink is an OutcomeSink that can say when its records are safe.
type syncedSink interface {
	// Sync waits until every record taken before is safe.
	Sync(ctx context.Context) error
}

// announce records tasks that are about to start under a later round as
// unknown, and waits until that is safe. The owner before may have recorded
// that they were not run; should this entry die before it records their ends,
// that must not be the last word.
func (r *jobRun) announce(tasks []uint32) error {
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

// record records the end of the exchange, where it was placed at all.
func (x *exchange) record(answer http.Header, err error) {
	if x.attempt == 0 {
		return
	}
	rec := contract.OutcomeRecord{
		Task:        x.id,
		Team:        x.team,
		Route:       x.route.Name,
		Worker:      x.worker.Host,
		Incarnation: x.worker.Incarnation,
		Attempt:     x.attempt,
		Unsure:      x.unsure,
	}
	x.entry.recordSingle(rec, answer, err)
}

// recordSingle records the end of a single request that was placed at a
// worker. The answer's header says what the agent knows; where there is none,
// err says it, and otherwise the outcome is unknown.
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
	if rec.Unsure && rec.Outcome == contract.OutcomeNotRun {
		rec.Outcome = contract.OutcomeUnknown
	}
	e.recordOutcome(rec)
}

// recordStray records a result whose job this process does not know: the job
// ended, or the entry restarted. It resolves an outcome that was unknown.
// A task that did not run at w is left out: a later attempt may have run.
func (e *Entry) recordStray(w host.Ref, m *contract.Result) {
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
