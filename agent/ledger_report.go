package agent

import (
	"context"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// Limits on reporting unacknowledged outcomes to the ledger.
const (
	// ledgerReportInterval is the time between two reports.
	ledgerReportInterval = 2 * time.Second
	// ledgerReportTimeout limits the wait until the ledger has synced a report.
	ledgerReportTimeout = 5 * time.Second
	// maxLedgerReport is the maximum number of outcomes in one report.
	maxLedgerReport = 500
)

// ledgerReportLoop reports to the ledger, through any connected entry, the outcomes
// that their disconnected owners have not acknowledged. It returns when ctx is done.
func (a *Agent) ledgerReportLoop(ctx context.Context) {
	ticker := time.NewTicker(ledgerReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.reportToLedger(ctx)
		}
	}
}

// reportToLedger sends one report and marks its tasks as reported.
func (a *Agent) reportToLedger(ctx context.Context) {
	a.mu.Lock()
	records := a.unackedOutcomes()
	l := a.anyLink()
	a.mu.Unlock()
	if l == nil || len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerReportTimeout)
	defer cancel()
	reply, err := l.Call(ctx, &contract.LedgerReport{Records: records})
	if _, ok := reply.(*contract.LedgerReported); err != nil || !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range records {
		if t := a.tasks[r.Task]; t != nil {
			t.inLedger = true
		}
	}
}

// unackedOutcomes returns at most maxLedgerReport unacknowledged outcomes whose
// owner is disconnected and that were not reported before. Tasks that have not run
// are left out, since a later attempt may run. The caller holds a.mu.
func (a *Agent) unackedOutcomes() []contract.OutcomeRecord {
	var out []contract.OutcomeRecord
	for id, t := range a.tasks {
		if len(out) == maxLedgerReport {
			break
		}
		unreported := t.result != nil && !t.acked && !t.inLedger && a.linkTo(t.owner) == nil
		if !unreported || t.result.Outcome == contract.OutcomeNotRun {
			continue
		}
		out = append(out, contract.OutcomeRecord{
			Task:        id,
			Outcome:     t.result.Outcome,
			Status:      t.result.Status,
			Worker:      a.cfg.Identity.Host,
			Incarnation: a.cfg.Identity.Incarnation,
			Attempt:     t.result.Attempt,
			At:          time.Now(),
			Reason:      t.result.Reason,
		})
	}
	return out
}

// anyLink returns the link to any of the entries, or nil. The caller holds a.mu.
func (a *Agent) anyLink() *link.Link {
	for _, l := range a.links {
		return l
	}
	return nil
}
