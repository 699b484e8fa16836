package node

import (
	"context"
	"errors"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// hedgeDelay is how long a control host may take to reply before the request is
// sent to the next one as well. Handling a forwarded request twice is safe: a
// read changes nothing, and an edit is deduplicated by its ID.
const hedgeDelay = 700 * time.Millisecond

// controlReply is the reply of one control host, or the error of the call.
type controlReply struct {
	msg contract.Message
	err error
}

// requestControl sends m to the control hosts as callControlHosts does, and
// returns the reply as an R. A reply of another type is an error.
func requestControl[R contract.Message](ctx context.Context, n *Node, m contract.Message) (R, error) {
	var zero R
	msg, err := n.callControlHosts(ctx, m)
	if err != nil {
		return zero, err
	}
	r, ok := msg.(R)
	if !ok {
		return zero, contract.ErrInternal.With("unexpected reply %T", msg)
	}
	return r, nil
}

// callControlHosts sends m to the first control host, and to one more whenever
// one fails or is slower than hedgeDelay. It returns the first final reply, or
// the error of noFinalReplyError once all hosts have replied or failed.
func (n *Node) callControlHosts(ctx context.Context, m contract.Message) (contract.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	hosts := n.controlHosts()
	replies := make(chan controlReply, len(hosts))
	sent, received := 0, 0
	maybeApplied := false
	for {
		if sent < len(hosts) {
			id := hosts[sent]
			sent++
			go func() { replies <- n.callControlHost(ctx, id, m) }()
		}
		var hedge <-chan time.Time
		if sent < len(hosts) {
			hedge = time.After(hedgeDelay)
		}
		select {
		case <-hedge:
			continue
		case r := <-replies:
			received++
			if isFinal(r.err) {
				return r.msg, r.err
			}
			maybeApplied = maybeApplied || !errors.Is(r.err, link.ErrDown) && !contract.ErrNoQuorum.Is(r.err)
		}
		if received == len(hosts) {
			return nil, n.noFinalReplyError(m, maybeApplied)
		}
	}
}

// callControlHost sends m to one control host. The error is link.ErrDown if the link
// was down before the call, so that m was not sent. If the link goes down during the
// call, the error is another one, since the host may have handled m.
func (n *Node) callControlHost(ctx context.Context, id contract.HostID, m contract.Message) controlReply {
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

// isFinal reports whether a reply with this error is final: a success, or a
// rejection that a reply of another control host would not change.
func isFinal(err error) bool {
	if err == nil {
		return true
	}
	for _, k := range []contract.ErrorKind{contract.ErrConflict, contract.ErrInvalidTables, contract.ErrBadRequest, contract.ErrMembers} {
		if k.Is(err) {
			return true
		}
	}
	return false
}

// noFinalReplyError returns the error for a request that got no final reply.
// maybeApplied says that a control host may have handled it; the outcome of an
// edit is then unknown.
func (n *Node) noFinalReplyError(m contract.Message, maybeApplied bool) error {
	_, isEdit := m.(*contract.EditRequest)
	if isEdit && maybeApplied {
		return contract.ErrEditUnknown.With("no control host confirmed the edit in time: it may come into force")
	}
	return contract.ErrNoQuorum.WithRetryAfter(time.Second, "no control host reached a majority; requests are still routed by version %d", n.tables.Version())
}

// controlHosts returns the members of the control group in force, or the control
// hosts of the settings while no group is known yet.
func (n *Node) controlHosts() []contract.HostID {
	if g := n.tables.View().Group; g.Formed() {
		return g.Hosts()
	}
	return n.cfg.Control
}
