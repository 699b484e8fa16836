package node

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/entry"
	"github.com/carawaylanding/carawaylanding/ledger"
	"github.com/carawaylanding/carawaylanding/link"
)

// ledgerPart is the ledger's part of one process.
type ledgerPart struct {
	// replica is set on a control host.
	replica *ledger.Replica
	// writer is set on an entry.
	writer *ledger.Writer
	// holders reach the replicas of all control hosts, this one's among them.
	holders map[contract.HostID]ledger.Holder
}

// openLedger opens this host's part of the ledger. It comes after the peers
// are known and before the entry is made.
func (n *Node) openLedger() error {
	holders := make(map[contract.HostID]ledger.Holder, len(n.set.Control))
	for id, d := range n.peers.all() {
		if slices.Contains(n.set.Control, id) {
			holders[id] = d
		}
	}
	if n.control != nil {
		store, err := ledger.OpenStore(n.set.DataDir)
		if err != nil {
			return err
		}
		peers := make(map[contract.HostID]ledger.Holder, len(holders))
		for id, h := range holders {
			peers[id] = h
		}
		n.ledger.replica = &ledger.Replica{Store: store, Peers: peers, Retention: ledger.DefaultRetention, Log: n.log}
		holders[n.set.ID] = n.ledger.replica
	}
	n.ledger.holders = holders
	if n.set.Has(contract.RoleEntry) {
		origin := contract.LedgerOrigin{Host: n.identity.Host, Incarnation: n.identity.Incarnation}
		n.ledger.writer = ledger.NewWriter(origin, holders, ledger.DefaultMaxPending)
	}
	return nil
}

// closeLedger closes the ledger's file.
func (n *Node) closeLedger() {
	if n.ledger.replica != nil {
		n.ledger.replica.Store.Close()
	}
}

// outcomes returns the sink of the entry's outcomes, or nil.
func (n *Node) outcomes() entry.OutcomeSink {
	if n.ledger.writer == nil {
		return nil
	}
	return n.ledger.writer
}

// runLedger runs this host's part until ctx is done.
func (n *Node) runLedger(ctx context.Context, start func(func() error)) {
	if n.ledger.replica != nil {
		start(func() error { return n.ledger.replica.Run(ctx) })
	}
	if n.ledger.writer != nil {
		start(func() error { return n.ledger.writer.Run(ctx) })
	}
}

// flushLimit bounds how long a shutdown waits for the control hosts to sync
// the last outcomes.
const flushLimit = 10 * time.Second

// flushLedger waits until a majority holds what this entry recorded.
func (n *Node) flushLedger() {
	if n.ledger.writer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushLimit)
	defer cancel()
	if err := n.ledger.writer.Flush(ctx); err != nil {
		n.log.Error(err, "outcomes not synced at shutdown", "records", n.ledger.writer.Pending(),
			"remedy", "resubmit the jobs of the last seconds with their keys, or ask the upstreams")
	}
}

// forLedger answers a message of the ledger.
func (n *Node) forLedger(l *link.Link, seq uint64, m contract.Message) {
	if n.ledger.replica == nil {
		l.Reply(seq, link.NewFault(contract.ErrInternal.With("host %s is no control host", n.set.ID)))
		return
	}
	go func() { l.Reply(seq, n.ledger.replica.Receive(context.Background(), m)) }()
}

// takeReport records the outcomes that an agent reports for an entry that is
// gone, and answers once a majority has synced them.
func (n *Node) takeReport(l *link.Link, seq uint64, m *contract.LedgerReport) {
	if n.ledger.writer == nil {
		l.Reply(seq, link.NewFault(contract.ErrInternal.With("host %s is no entry", n.set.ID)))
		return
	}
	for _, r := range m.Records {
		r.Entry = n.set.ID
		n.ledger.writer.Record(r)
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushLimit)
		defer cancel()
		if err := n.ledger.writer.Flush(ctx); err != nil {
			l.Reply(seq, link.NewFault(contract.ErrNoQuorum.With("the outcomes are not synced yet: %v", err)))
			return
		}
		l.Reply(seq, &contract.LedgerReported{})
	}()
}

// OutcomesAnswer is the body of GET /admin/outcomes/{job}.
type OutcomesAnswer struct {
	Job   contract.JobID `json:"job"`
	Tasks []TaskOutcome  `json:"tasks"`
}

// TaskOutcome is what the ledger says about one task.
type TaskOutcome struct {
	Task    uint32         `json:"task"`
	Verdict ledger.Verdict `json:"verdict"`
	// Conflict says that the records contradict each other.
	Conflict bool                     `json:"conflict,omitempty"`
	Records  []contract.OutcomeRecord `json:"records"`
}

func (n *Node) serveOutcomes(w http.ResponseWriter, r *http.Request) {
	id := contract.JobID(r.PathValue("job"))
	rows, err := ledger.Read(r.Context(), n.ledger.holders, id)
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	out := OutcomesAnswer{Job: id, Tasks: make([]TaskOutcome, 0, len(rows))}
	for _, row := range rows {
		out.Tasks = append(out.Tasks, TaskOutcome{
			Task:     row.Records[0].Task.Index,
			Verdict:  ledger.Judge(row),
			Conflict: ledger.Conflict(row),
			Records:  ledger.Decisive(row),
		})
	}
	answer(w, out)
}
