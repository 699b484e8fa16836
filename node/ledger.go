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

// ledgerComponents are the parts of the outcome ledger that run in one process.
type ledgerComponents struct {
	// replica stores outcomes; nil unless this is a control host.
	replica *ledger.Replica
	// writer sends outcomes to the replicas; nil unless this is an entry.
	writer *ledger.Writer
	// replicas are the replicas of all control hosts, including a local one.
	replicas map[contract.HostID]ledger.ReplicaClient
}

// openLedger creates the replica and the writer, as the roles of this process
// require. It must run after the peers and the control role are set up, and before
// the entry is created.
func (n *Node) openLedger() error {
	replicas := make(map[contract.HostID]ledger.ReplicaClient, len(n.cfg.Control))
	for id, d := range n.peers.all() {
		if slices.Contains(n.cfg.Control, id) {
			replicas[id] = d
		}
	}
	if n.control != nil {
		store, err := ledger.OpenStore(n.cfg.DataDir)
		if err != nil {
			return err
		}
		peers := make(map[contract.HostID]ledger.ReplicaClient, len(replicas))
		for id, r := range replicas {
			peers[id] = r
		}
		n.ledger.replica = &ledger.Replica{Store: store, Peers: peers, Retention: ledger.DefaultRetention, Log: n.log}
		replicas[n.cfg.ID] = n.ledger.replica
	}
	n.ledger.replicas = replicas
	if n.cfg.HasRole(contract.RoleEntry) {
		origin := contract.LedgerOrigin{Host: n.identity.Host, Incarnation: n.identity.Incarnation}
		n.ledger.writer = ledger.NewWriter(origin, replicas, ledger.DefaultMaxPending)
	}
	return nil
}

// closeLedger closes the store of the replica, if there is one.
func (n *Node) closeLedger() {
	if n.ledger.replica != nil {
		n.ledger.replica.Store.Close()
	}
}

// outcomeSink returns the sink for the entry's outcomes; nil if the process is
// not an entry. A nil *ledger.Writer would make the interface non-nil.
func (n *Node) outcomeSink() entry.OutcomeSink {
	if n.ledger.writer == nil {
		return nil
	}
	return n.ledger.writer
}

// runLedger starts the replica and the writer, where they exist, through start.
// They run until ctx is done.
func (n *Node) runLedger(ctx context.Context, start func(func() error)) {
	if n.ledger.replica != nil {
		start(func() error { return n.ledger.replica.Run(ctx) })
	}
	if n.ledger.writer != nil {
		start(func() error { return n.ledger.writer.Run(ctx) })
	}
}

// flushTimeout bounds how long a shutdown, or the reply to an agent's report,
// waits for a majority of the control hosts to sync the outcomes.
const flushTimeout = 10 * time.Second

// flushLedger waits until a majority of the replicas has synced the outcomes that
// this entry recorded.
func (n *Node) flushLedger() {
	if n.ledger.writer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := n.ledger.writer.Flush(ctx); err != nil {
		n.log.Error(err, "outcomes not synced at shutdown", "records", n.ledger.writer.Pending(),
			"remedy", "resubmit the jobs of the last seconds with their keys, or ask the upstreams")
	}
}

// handleLedger replies to a ledger message from the local replica.
func (n *Node) handleLedger(l *link.Link, seq uint64, m contract.Message) {
	if n.ledger.replica == nil {
		l.Reply(seq, link.NewFault(contract.ErrInternal.With("host %s is no control host", n.cfg.ID)))
		return
	}
	go func() { l.Reply(seq, n.ledger.replica.Receive(context.Background(), m)) }()
}

// handleLedgerReport records outcomes that an agent reports because it has no link
// to the entries that sent the starts. It replies once a majority has synced them.
func (n *Node) handleLedgerReport(l *link.Link, seq uint64, m *contract.LedgerReport) {
	if n.ledger.writer == nil {
		l.Reply(seq, link.NewFault(contract.ErrInternal.With("host %s is no entry", n.cfg.ID)))
		return
	}
	for _, r := range m.Records {
		r.Entry = n.cfg.ID
		n.ledger.writer.Record(r)
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		if err := n.ledger.writer.Flush(ctx); err != nil {
			l.Reply(seq, link.NewFault(contract.ErrNoQuorum.With("the outcomes are not synced yet: %v", err)))
			return
		}
		l.Reply(seq, &contract.LedgerReported{})
	}()
}

// OutcomesAnswer is the response body of GET /admin/outcomes/{job}.
type OutcomesAnswer struct {
	Job   contract.JobID `json:"job"`
	Tasks []TaskOutcome  `json:"tasks"`
}

// TaskOutcome is the outcome of one task according to the ledger.
type TaskOutcome struct {
	// Task is the index of the task in its job.
	Task    uint32         `json:"task"`
	Verdict ledger.Verdict `json:"verdict"`
	// Conflict says that the records contradict each other.
	Conflict bool `json:"conflict,omitempty"`
	// Records are the records that decide the verdict.
	Records []contract.OutcomeRecord `json:"records"`
}

// serveOutcomes returns the outcomes of a job's tasks as read from the ledger.
func (n *Node) serveOutcomes(w http.ResponseWriter, r *http.Request) {
	id := contract.JobID(r.PathValue("job"))
	rows, err := ledger.Read(r.Context(), n.ledger.replicas, id)
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	out := OutcomesAnswer{Job: id, Tasks: make([]TaskOutcome, 0, len(rows))}
	for _, row := range rows {
		out.Tasks = append(out.Tasks, TaskOutcome{
			Task:     row.Records[0].Task.Index,
			Verdict:  ledger.RowVerdict(row),
			Conflict: ledger.HasConflict(row),
			Records:  ledger.DecisiveRecords(row),
		})
	}
	writeJSON(w, out)
}
