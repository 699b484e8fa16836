package agent

import (
	"context"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// Bounds of the reports of orphaned results.
const (
	// orphanInterval is the time between two reports.
	orphanInterval = 2 * time.Second
	// orphanTimeout bounds the wait for a report's sync.
	orphanTimeout = 5 * time.Second
	// maxOrphans bounds the outcomes of one report.
	maxOrphans = 500
)

// orphanLoop reports, until ctx is done, the outcomes whose entry is gone to
// another entry, so that the ledger knows them.
func (a *Agent) orphanLoop(ctx context.Context) {
	ticker := time.NewTicker(orphanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.reportOrphans(ctx)
		}
	}
}

func (a *Agent) reportOrphans(ctx context.Context) {
	a.mu.Lock()
	records := a.orphans()
	l := a.anyLink()
	a.mu.Unlock()
	if l == nil || len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orphanTimeout)
	defer cancel()
	reply, err := l.Call(ctx, &contract.LedgerReport{Records: records})
	if _, ok := reply.(*contract.LedgerReported); err != nil || !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range records {
		if t := a.tasks[r.Task]; t != nil {
			t.reported = true
		}
	}
}

// orphans returns the outcomes that no owner has acknowledged and whose owner
// has no link. One that has not run is left out: a later attempt may run. The
// caller holds a.mu.
func (a *Agent) orphans() []contract.OutcomeRecord {
	var out []contract.OutcomeRecord
	for id, t := range a.tasks {
		if len(out) == maxOrphans {
			break
		}
		orphaned := t.result != nil && !t.acked && !t.reported && a.linkTo(t.owner) == nil
		if !orphaned || t.result.Outcome == contract.OutcomeNotRun {
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

// anyLink returns an open link, or nil; the caller holds a.mu.
func (a *Agent) anyLink() *link.Link {
	for _, l := range a.links {
		return l
	}
	return nil
}
