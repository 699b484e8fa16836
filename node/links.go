package node

import (
	"context"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/tables"
)

// LinkUp implements link.Handler.
func (n *Node) LinkUp(l *link.Link) {
	n.peerChanged(l)
	if n.fromAgent(l) {
		l.Send(&contract.Heartbeat{Tables: n.tables.Version()})
		n.entry.LinkUp(l)
	}
}

// LinkDown implements link.Handler.
func (n *Node) LinkDown(l *link.Link, err error) {
	n.peerChanged(l)
	if n.fromAgent(l) {
		n.entry.LinkDown(l, err)
	}
}

func (n *Node) fromAgent(l *link.Link) bool {
	return n.entry != nil && host.FromHello(l.Remote()).Has(contract.RoleAgent)
}

// Receive implements link.Handler.
func (n *Node) Receive(l *link.Link, seq uint64, m contract.Message) {
	switch m := m.(type) {
	case *contract.Heartbeat:
		n.sawVersion(l, m.Tables)
	case *contract.TablesPull:
		l.Send(n.tables.Delta(m.Have))
	case *contract.TablesDelta:
		n.merge(m)
	case *contract.StatusRequest, *contract.DrainRequest:
		n.receiveAdmin(l, seq, m)
	case *contract.Prepare, *contract.Accept, *contract.EditRequest, *contract.TablesRead:
		n.forControl(l, seq, m)
	case *contract.CreditAsk, *contract.CreditLend, *contract.WorkerSuspect:
		if n.entry != nil {
			n.entry.ReceivePeer(l.Remote().Host, m)
		}

	case *contract.LedgerAppend, *contract.LedgerRead, *contract.LedgerPull:
		n.forLedger(l, seq, m)
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

func (n *Node) sawVersion(l *link.Link, v contract.Version) {
	have := n.tables.Version()
	if v > have {
		l.Send(&contract.TablesPull{Have: have})
	}
}

func (n *Node) merge(d *contract.TablesDelta) {
	if n.tables.Merge(d) {
		n.log.Info("tables in force", "version", d.Tables.Version)
	}
}

// tablesChanged pushes the rows that the last edit changed to the peers. A
// peer that is further behind pulls the rest on the next heartbeat.
func (n *Node) tablesChanged(v *tables.View) {
	if v.Version == 0 {
		return
	}
	d := tables.Since(v.Tables, v.Version-1)
	for _, p := range n.peers {
		if l := p.Link(); l != nil {
			l.Send(d)
		}
	}
	n.tellAgents(v.Version)
}

// tellAgents sends the version in force to each agent: a busy link carries no
// heartbeat by itself.
func (n *Node) tellAgents(v contract.Version) {
	if n.entry == nil {
		return
	}
	for _, l := range n.entry.AgentLinks() {
		if l != nil {
			l.Send(&contract.Heartbeat{Tables: v})
		}
	}
}

// catchUpWait is how long a starting process waits between two quorum reads.
const catchUpWait = 200 * time.Millisecond

// catchUp reads the tables from a quorum before the process serves: until
// then it is not ready.
func (n *Node) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		t, err := n.readTables(ctx)
		if err == nil {
			n.tables.Offer(t)
			n.log.Info("caught up", "version", n.tables.Version())
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(catchUpWait):
		}
	}
}

func (n *Node) readTables(ctx context.Context) (contract.Tables, error) {
	if n.control != nil {
		return n.control.Read(ctx)
	}
	reply, err := n.callControl(ctx, &contract.TablesRead{})
	if err != nil {
		return contract.Tables{}, err
	}
	d, ok := reply.(*contract.TablesDelta)
	if !ok {
		return contract.Tables{}, contract.ErrInternal.With("unexpected reply %T", reply)
	}
	return d.Tables, nil
}

// callControl asks the control hosts in turn until one answers.
func (n *Node) callControl(ctx context.Context, m contract.Message) (contract.Message, error) {
	var last error = contract.ErrNoQuorum.Refuse(time.Second, "no control host is linked")
	for _, id := range n.set.Control {
		p := n.peers[id]
		if p == nil || p.Link() == nil {
			continue
		}
		reply, err := p.Call(ctx, m)
		if err == nil {
			return reply, nil
		}
		if _, typed := contract.AsError(err); typed {
			return nil, err
		}
		last = contract.ErrNoQuorum.Refuse(time.Second, "control host %s: %v", id, err)
	}
	return nil, last
}

// edit agrees on an edit, here or at a control host.
func (n *Node) edit(ctx context.Context, e contract.Edit) (contract.Version, error) {
	if n.control != nil {
		return n.control.Edit(ctx, e)
	}
	reply, err := n.callControl(ctx, &contract.EditRequest{Edit: e})
	if err != nil {
		return 0, err
	}
	r, ok := reply.(*contract.EditReply)
	if !ok {
		return 0, contract.ErrInternal.With("unexpected reply %T", reply)
	}
	return r.Version, nil
}
