package node

import (
	"context"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/metrics"
	"github.com/carawaylanding/carawaylanding/tables"
)

// LinkUp implements link.Handler. It sends the version in force at once. Otherwise
// an idle link would carry it only with the next heartbeat, and a peer with older
// tables would catch up that much later.
func (n *Node) LinkUp(l *link.Link) {
	l.Send(n.heartbeat())
	n.updateEntryPeers(l)
	if n.isFromAgent(l) {
		n.entry.LinkUp(l)
	}
}

// LinkDown implements link.Handler. It discards the version that the peer reported,
// and tells the entry if the peer was another entry or an agent.
func (n *Node) LinkDown(l *link.Link, err error) {
	n.peerVersions.remove(l)
	n.updateEntryPeers(l)
	if n.isFromAgent(l) {
		n.entry.LinkDown(l, err)
	}
}

// isFromAgent reports whether this is an entry and l leads to an agent.
func (n *Node) isFromAgent(l *link.Link) bool {
	return n.entry != nil && host.FromHello(l.Remote()).HasRole(contract.RoleAgent)
}

func (n *Node) heartbeat() *contract.Heartbeat {
	return &contract.Heartbeat{TablesVersion: n.tables.Version()}
}

// Receive implements link.Handler. It routes the message to the component that
// handles its type. A message of any other type goes to the entry if it came from
// an agent, and is discarded otherwise.
func (n *Node) Receive(l *link.Link, seq uint64, m contract.Message) {
	switch m := m.(type) {
	case *contract.Heartbeat:
		n.handlePeerVersion(l, m.TablesVersion)
	case *contract.TablesPull:
		n.peerVersions.observe(l, m.Have)
		n.sendDelta(l, n.tables.Delta(m.Have))
	case *contract.TablesDelta:
		n.mergeDelta(l, m)
	case *contract.StatusRequest, *contract.DrainRequest:
		n.handleAdmin(l, seq, m)
	case *contract.Prepare, *contract.Accept, *contract.Copy, *contract.VoterQuery, *contract.EditRequest,
		*contract.TablesRead, *contract.HistoryRead, *contract.MemberRequest:
		n.handleControl(l, seq, m)
	case *contract.LedgerAppend, *contract.LedgerRead, *contract.LedgerPull:
		n.handleLedger(l, seq, m)
	case *contract.LedgerReport:
		n.handleLedgerReport(l, seq, m)
	case *contract.RecordWrite, *contract.RecordPrepare, *contract.RecordCopy:
		l.Reply(seq, n.records.receive(m))
	case *contract.JobWait:
		n.handleJobWait(l, seq, m)
	case *contract.CreditAsk, *contract.CreditLend, *contract.WorkerSuspect:
		if n.entry != nil {
			n.entry.ReceivePeer(l.Remote().Host, m)
		}
	default:
		if n.isFromAgent(l) {
			n.entry.Receive(l, m)
		}
	}
}

// controlTimeout bounds the handling of one message to the control role, and the
// wait for its reply.
const controlTimeout = 12 * time.Second

// handleControl replies to a message for the control role.
func (n *Node) handleControl(l *link.Link, seq uint64, m contract.Message) {
	if n.control == nil {
		l.Reply(seq, link.NewFault(contract.ErrInternal.With("host %s is no control host", n.cfg.ID)))
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		l.Reply(seq, n.control.Receive(ctx, m))
	}()
}

// handleJobWait replies with a job's answer once the job has one. It waits for at
// most contract.MaxDeadline. The answer is empty if this process does not run the
// job, or if its answer can't be reused.
func (n *Node) handleJobWait(l *link.Link, seq uint64, m *contract.JobWait) {
	if n.entry == nil {
		l.Reply(seq, &contract.JobAnswer{})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), contract.MaxDeadline)
		defer cancel()
		l.Reply(seq, n.entry.WaitJob(ctx, m))
	}()
}

// handlePeerVersion records the version that a peer reported, and pulls the tables
// if it is newer than the one in force. An agent knows versions but holds no
// tables; if it reports a newer one, the pull goes to every peer.
func (n *Node) handlePeerVersion(l *link.Link, v contract.Version) {
	n.peerVersions.observe(l, v)
	have := n.tables.Version()
	if v <= have {
		return
	}
	pull := &contract.TablesPull{Have: have}
	if !host.FromHello(l.Remote()).HasRole(contract.RoleAgent) {
		l.Send(pull)
		return
	}
	for _, p := range n.peers.all() {
		if l := p.Link(); l != nil {
			l.Send(pull)
		}
	}
}

// mergeDelta applies a delta to the tables in force. If the delta begins after the
// version in force, the rows in between are missing, and mergeDelta pulls them.
func (n *Node) mergeDelta(l *link.Link, d *contract.TablesDelta) {
	n.peerVersions.observe(l, d.Tables.Version)
	if n.tables.Merge(d) {
		n.log.Info("tables in force", "version", d.Tables.Version)
		return
	}
	n.handlePeerVersion(l, d.Tables.Version)
}

// sendDelta sends a delta and counts it.
func (n *Node) sendDelta(l *link.Link, d *contract.TablesDelta) {
	metrics.TablesDeltasSent.Add(1)
	l.Send(d)
}

// tablesChanged sends each linked peer the rows that it lacks according to its last
// reported version. A peer that already has the version gets a heartbeat instead,
// so that it learns that the version is in force here too. A peer whose version is
// not known is assumed to lack only the last change. An entry also sends its agents
// the versions of the changed rows.
func (n *Node) tablesChanged(v *tables.View) {
	if v.Version == 0 {
		return
	}
	metrics.TablesVersion.Set(int64(v.Version))
	n.dialMembers(v.Group)
	for id, p := range n.peers.all() {
		l := p.Link()
		if l == nil {
			continue
		}
		have := n.peerVersions.get(id)
		if have >= v.Version {
			l.Send(n.heartbeat())
			continue
		}
		if have == 0 {
			have = v.Version - 1
		}
		n.sendDelta(l, tables.DeltaSince(v.Tables, have))
	}
	if n.entry != nil {
		n.entry.RowsChanged(v, n.sentRowsVersion)
		n.sentRowsVersion = v.Version
	}
}

// catchUpRetryInterval is the wait between two quorum reads of a starting process.
const catchUpRetryInterval = 200 * time.Millisecond

// catchUp reads the tables from a quorum, and retries until it succeeds or ctx is
// done. An entry is not ready before its tables are known.
func (n *Node) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		d, err := n.readTables(ctx)
		if err == nil {
			n.tables.Merge(d)
			n.log.Info("tables caught up", "version", n.tables.Version())
			n.records.tablesCaughtUp(n.control != nil && n.control.HasOriginalDisk())
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(catchUpRetryInterval):
		}
	}
}

// readTables reads the tables from a quorum, and returns the rows that are newer
// than the version in force here.
func (n *Node) readTables(ctx context.Context) (*contract.TablesDelta, error) {
	have := n.tables.Version()
	if n.control != nil {
		t, err := n.control.Read(ctx)
		return tables.DeltaSince(t, have), err
	}
	return requestControl[*contract.TablesDelta](ctx, n, &contract.TablesRead{Have: have})
}

// edit submits an edit to the control group, through the local control role or by
// forwarding it to a control host. It returns the version that the edit made.
func (n *Node) edit(ctx context.Context, e contract.Edit) (contract.Version, error) {
	if n.control != nil {
		return n.control.Edit(ctx, e)
	}
	r, err := requestControl[*contract.EditReply](ctx, n, &contract.EditRequest{Edit: e})
	if err != nil {
		return 0, err
	}
	return r.Version, nil
}
