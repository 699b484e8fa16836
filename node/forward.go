package node

import (
	"context"
	"errors"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// hedgeAfter is how long a control host may take before the next one is asked
// too. Each message that is forwarded may be answered twice: a read changes
// nothing, and an edit has its ID.
const hedgeAfter = 700 * time.Millisecond

// controlReply is one control host's reply.
type controlReply struct {
	msg contract.Message
	err error
}

// askControl asks the control hosts, one more whenever one fails or is slow,
// and returns the first reply that settles the matter.
func askControl[R contract.Message](ctx context.Context, n *Node, m contract.Message) (R, error) {
	var none R
	msg, err := n.callControl(ctx, m)
	if err != nil {
		return none, err
	}
	r, ok := msg.(R)
	if !ok {
		return none, contract.ErrInternal.With("unexpected reply %T", msg)
	}
	return r, nil
}

func (n *Node) callControl(ctx context.Context, m contract.Message) (contract.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, controlLimit)
	defer cancel()
	hosts := n.controlHosts()
	replies := make(chan controlReply, len(hosts))
	asked, answered := 0, 0
	unknown := false
	for {
		if asked < len(hosts) {
			id := hosts[asked]
			asked++
			go func() { replies <- n.callOne(ctx, id, m) }()
		}
		var hedge <-chan time.Time
		if asked < len(hosts) {
			hedge = time.After(hedgeAfter)
		}
		select {
		case <-hedge:
			continue
		case r := <-replies:
			answered++
			if settles(r.err) {
				return r.msg, r.err
			}
			unknown = unknown || !errors.Is(r.err, link.ErrDown) && !contract.ErrNoQuorum.Is(r.err)
		}
		if answered == len(hosts) {
			return nil, n.unanswered(m, unknown)
		}
	}
}

// callOne asks one control host. ErrDown means that it was not sent.
func (n *Node) callOne(ctx context.Context, id contract.HostID, m contract.Message) controlReply {
	d := n.peers.get(id)
	if d == nil || d.Link() == nil {
		return controlReply{err: link.ErrDown}
	}
	msg, err := d.Call(ctx, m)
	if errors.Is(err, link.ErrDown) {
		err = errors.New("the link went down before the reply")
	}
	return controlReply{msg, err}
}

// settles reports whether no other host's reply can be better.
func settles(err error) bool {
	if err == nil {
		return true
	}
	for _, k := range []contract.Kind{contract.ErrConflict, contract.ErrInvalidTables, contract.ErrBadRequest, contract.ErrMembers} {
		if k.Is(err) {
			return true
		}
	}
	return false
}

// unanswered is the answer when no control host settled the matter.
func (n *Node) unanswered(m contract.Message, unknown bool) error {
	_, isEdit := m.(*contract.EditRequest)
	if isEdit && unknown {
		return contract.ErrEditUnknown.With("no control host confirmed the edit in time: it may come into force")
	}
	return contract.ErrNoQuorum.Refuse(time.Second, "no control host reached a majority; traffic goes on by version %d", n.tables.Version())
}

// controlHosts are the members in force, or those of the settings before the
// first are known.
func (n *Node) controlHosts() []contract.HostID {
	if g := n.tables.View().Group; g.Formed() {
		return g.Hosts()
	}
	return n.set.Control
}
