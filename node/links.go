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

// LinkUp implements link.Handler. It tells the version in force at once, so
// that neither side waits for an idle link to learn that it is behind.
func (n *Node) LinkUp(l *link.Link) {
	l.Send(n.heartbeat())
	n.peerChanged(l)
	if n.fromAgent(l) {
		n.entry.LinkUp(l)
	}
}

// LinkDown implements link.Handler.
func (n *Node) LinkDown(l *link.Link, err error) {
	n.versions.down(l)
	n.peerChanged(l)
	if n.fromAgent(l) {
		n.entry.LinkDown(l, err)
	}
}

func (n *Node) fromAgent(l *link.Link) bool {
	return n.entry != nil && host.FromHello(l.Remote()).HasRole(contract.RoleAgent)
}

func (n *Node) heartbeat() *contract.Heartbeat {
	return &contract.Heartbeat{Tables: n.tables.Version()}
}

// Receive implements link.Handler.
func (n *Node) Receive(l *link.Link, seq uint64, m contract.Message) {
	switch m := m.(type) {
	case *contract.Heartbeat:
		n.sawVersion(l, m.Tables)
	case *contract.TablesPull:
		n.versions.saw(l, m.Have)
		n.sendDelta(l, n.tables.Delta(m.Have))
	case *contract.TablesDelta:
		n.merge(l, m)
	case *contract.StatusRequest, *contract.DrainRequest:
		n.receiveAdmin(l, seq, m)
	case *contract.Prepare, *contract.Accept, *contract.Copy, *contract.VoterQuery, *contract.EditRequest,
		*contract.TablesRead, *contract.HistoryRead, *contract.MemberRequest:
		n.forControl(l, seq, m)
	case *contract.LedgerAppend, *contract.LedgerRead, *contract.LedgerPull:
		n.forLedger(l, seq, m)
	case *contract.LedgerReport:
		n.takeReport(l, seq, m)
	case *contract.RecordWrite, *contract.RecordPrepare, *contract.RecordCopy:
		l.Reply(seq, n.records.receive(m))
	case *contract.JobWait:
		n.waitJob(l, seq, m)
	case *contract.CreditAsk, *contract.CreditLend, *contract.WorkerSuspect:
		if n.entry != nil {
			n.entry.ReceivePeer(l.Remote().Host, m)
		}
	default:
		if n.fromAgent(l) {
			n.entry.Receive(l, m)
		}
	}
}

// controlLimit bounds the work for one message to the control role.
const controlLimit = 12 * time.Second

func (n *Node) forControl(l *link.Link, seq uint64, m contract.Message) {
	if n.control == nil {
		l.Reply(seq, link.NewFault(contract.ErrInternal.With("host %s is no control host", n.set.ID)))
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlLimit)
		defer cancel()
		l.Reply(seq, n.control.Receive(ctx, m))
	}()
}

// waitJob answers with a job's answer once it has one, or the link is down.
func (n *Node) waitJob(l *link.Link, seq uint64, m *contract.JobWait) {
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

// sawVersion pulls what a peer has newer. An agent holds no tables, but has
// heard of them: then each peer is asked.
func (n *Node) sawVersion(l *link.Link, v contract.Version) {
	n.versions.saw(l, v)
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

// merge puts a delta in force; where rows between are missing it pulls them.
func (n *Node) merge(l *link.Link, d *contract.TablesDelta) {
	n.versions.saw(l, d.Tables.Version)
	if n.tables.Merge(d) {
		n.log.Info("tables in force", "version", d.Tables.Version)
		return
	}
	n.sawVersion(l, d.Tables.Version)
}

func (n *Node) sendDelta(l *link.Link, d *contract.TablesDelta) {
	metrics.TablesDeltasSent.Add(1)
	l.Send(d)
}

// tablesChanged pushes to the peers what they are known to lack. A peer that
// has the version already is told that it is in force here too.
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
		have := n.versions.of(id)
		if have >= v.Version {
			l.Send(n.heartbeat())
			continue
		}
		if have == 0 {
			have = v.Version - 1
		}
		n.sendDelta(l, tables.Since(v.Tables, have))
	}
	if n.entry != nil {
		n.entry.RowsChanged(v, n.rowsTold)
		n.rowsTold = v.Version
	}
}

// catchUpWait is how long a starting process waits between two quorum reads.
const catchUpWait = 200 * time.Millisecond

// catchUp reads the tables from a quorum before the process serves: until
// then it is not ready.
func (n *Node) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		d, err := n.readTables(ctx)
		if err == nil {
			n.tables.Merge(d)
			n.log.Info("caught up", "version", n.tables.Version())
			n.records.caughtUp(n.control != nil && n.control.OriginalDisk())
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(catchUpWait):
		}
	}
}

// readTables returns what the quorum has newer than the version in force.
func (n *Node) readTables(ctx context.Context) (*contract.TablesDelta, error) {
	have := n.tables.Version()
	if n.control != nil {
		t, err := n.control.Read(ctx)
		return tables.Since(t, have), err
	}
	return askControl[*contract.TablesDelta](ctx, n, &contract.TablesRead{Have: have})
}

// edit agrees on an edit, here or at a control host.
func (n *Node) edit(ctx context.Context, e contract.Edit) (contract.Version, error) {
	if n.control != nil {
		return n.control.Edit(ctx, e)
	}
	r, err := askControl[*contract.EditReply](ctx, n, &contract.EditRequest{Edit: e})
	if err != nil {
		return 0, err
	}
	return r.Version, nil
}
