package control

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"reflect"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/metrics"
	"github.com/carawaylanding/carawaylanding/quorum"
)

// The timeouts of a change and of its calls, and the backoff between its rounds.
const (
	minRoundBackoff = 5 * time.Millisecond
	maxRoundBackoff = 200 * time.Millisecond
	callTimeout     = 1500 * time.Millisecond
	changeTimeout   = 10 * time.Second
)

var (
	// errRoundLost means that the round's value was not chosen; another round may
	// succeed.
	errRoundLost = errors.New("round lost")
	// errGroupChanged means that the register names a group other than the one in
	// which the round was run; a round in that group may succeed.
	errGroupChanged = errors.New("another group is in force")
)

// chosenValue is a value that a quorum has accepted, encoded and decoded.
type chosenValue struct {
	acceptedValue
	register Register
}

// changeFunc returns the next register, given the current one. If it returns an
// error, the change is refused and the register stays as it is.
type changeFunc func(Register) (Register, error)

// change runs rounds until a value is chosen or the timeout expires. If f refuses
// the change, its error is returned only once the register that it was given is
// chosen. After a lost round it waits for a random backoff, so that competing
// proposers do not keep interrupting each other. After errGroupChanged it runs
// the next round at once.
func (c *Control) change(ctx context.Context, f changeFunc) (chosenValue, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	proposed := false
	select {
	case <-c.roundToken:
		defer func() { c.roundToken <- struct{}{} }()
	case <-ctx.Done():
		return chosenValue{}, c.noQuorumError(proposed)
	}
	for backoff := minRoundBackoff; ; backoff = min(2*backoff, maxRoundBackoff) {
		v, err := c.tryChange(ctx, f, &proposed)
		switch {
		case err == errGroupChanged && ctx.Err() == nil:
			continue
		case err != errRoundLost && err != errGroupChanged:
			return v, err
		}
		metrics.QuorumRoundsLost.Add(1)
		select {
		case <-ctx.Done():
			return chosenValue{}, c.noQuorumError(proposed)
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
	}
}

// noQuorumError returns the error for a change that no majority confirmed. If a
// changed value was proposed, a later round may find that value and choose it, so
// the result of the change is unknown.
func (c *Control) noQuorumError(proposed bool) error {
	if proposed {
		return contract.ErrEditUnknown.With("no majority of the control hosts confirmed the edit in time: it may come into force")
	}
	if !c.knownGroup().Formed() {
		return contract.ErrNoQuorum.WithRetryAfter(time.Second, "the group of control hosts is not formed yet: it forms once all of %v answer", c.cfg.FirstGroupHosts)
	}
	return contract.ErrNoQuorum.WithRetryAfter(time.Second, "no majority of the control hosts answered: nothing was changed, and requests are still routed by the version in force")
}

// tryChange runs one round. It sets proposed before it sends a changed value to any
// host. It returns errRoundLost or errGroupChanged if another round may succeed,
// and the error of f, with the chosen value, if f refuses the change.
func (c *Control) tryChange(ctx context.Context, f changeFunc, proposed *bool) (chosenValue, error) {
	metrics.QuorumRounds.Add(1)
	local := c.accepted()
	group := c.groupForRound(local)
	round := c.newRound(group)
	if !c.sendPrepare(ctx, round, local.ballot) {
		c.observeBallot(round.HigherBallot())
		c.observePromisedGroup(round)
		return chosenValue{}, errRoundLost
	}
	cur, raw, err := c.currentRegister(round, local)
	if err != nil {
		return chosenValue{}, err
	}
	if !reflect.DeepEqual(cur.Tables.Group, group) && raw != nil {
		c.setGroup(cur.Tables.Group)
		return chosenValue{}, errGroupChanged
	}
	next, refusal := f(cur)
	if refusal != nil {
		next = cur
	}
	nextRaw, err := next.encode()
	if err != nil {
		return chosenValue{}, err
	}
	unchanged := bytes.Equal(raw, nextRaw)
	if unchanged && round.Unanimous() {
		ballot, _ := round.Value()
		return c.learn(chosenValue{acceptedValue{ballot, raw}, cur}), refusal
	}
	round.Propose(next.Tables.Group)
	*proposed = *proposed || !unchanged
	if !c.sendAccept(ctx, round, nextRaw) {
		c.observeBallot(round.HigherBallot())
		return chosenValue{}, errRoundLost
	}
	return c.learn(chosenValue{acceptedValue{round.Ballot(), nextRaw}, next}), refusal
}

// learn puts a chosen value in force in this process and returns it.
func (c *Control) learn(v chosenValue) chosenValue {
	c.setGroup(v.register.Tables.Group)
	c.cfg.OnTablesChosen(v.register.Tables)
	return v
}

// currentRegister returns the register of the highest accepted ballot among the
// promises, and its encoding. The encoding is nil if no value has been accepted
// yet.
func (c *Control) currentRegister(round *quorum.Round, local acceptedValue) (Register, []byte, error) {
	ballot, raw := round.Value()
	if ballot == (contract.Ballot{}) {
		reg, err := c.initialRegister(round)
		return reg, nil, err
	}
	if ballot == local.ballot {
		raw = local.value
	}
	reg, err := decodeRegister(raw)
	if err != nil {
		return Register{}, nil, contract.ErrInternal.With("cannot decode the register: %v: run the same version on all control hosts", err)
	}
	return reg, raw, nil
}

// initialRegister returns the register before the first edit, which is the initial
// state of the specification. Its group is the one that the round forms or, if the
// group was formed but no value was accepted, the known group. It returns an
// error if checkMayForm does, and errRoundLost if the known group is later than the
// first one.
func (c *Control) initialRegister(round *quorum.Round) (Register, error) {
	if err := c.checkMayForm(); err != nil {
		return Register{}, err
	}
	if round.Forming() {
		return Register{Tables: contract.Tables{Group: round.FirstGroup()}}, nil
	}
	g := c.knownGroup()
	if g.Epoch != firstEpoch {
		return Register{}, errRoundLost
	}
	return Register{Tables: contract.Tables{Group: g}}, nil
}

// checkMayForm returns an error if tables are in force in this process: a group
// formed now would replace them by empty tables.
func (c *Control) checkMayForm() error {
	if v := c.cfg.TablesInForce().Version; v > 0 {
		return contract.ErrNoQuorum.With("the control hosts have empty disks, but version %d is in force here: bring back a host with its disk, or stop all entry and control hosts together, start them and restore a backup", v)
	}
	return nil
}

// firstEpoch is the epoch of the first group.
const firstEpoch = 1

// newRound returns a round with the next ballot: among the members of g or, if no
// group is formed yet, to form the first group.
func (c *Control) newRound(g contract.Group) *quorum.Round {
	b := c.nextBallot()
	if !g.Formed() {
		return quorum.NewFormingRound(b, c.cfg.FirstGroupHosts)
	}
	return quorum.NewRound(b, g)
}

// nextBallot returns a ballot higher than all that this host has used or observed.
func (c *Control) nextBallot() contract.Ballot {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	c.highestRound++
	return contract.Ballot{Round: c.highestRound, Host: c.cfg.Self, Nonce: c.nonce}
}

// observeBallot makes the next ballot of this host higher than b.
func (c *Control) observeBallot(b contract.Ballot) {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	c.highestRound = max(c.highestRound, b.Round)
}

func (c *Control) knownGroup() contract.Group {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	return c.group.Clone()
}

// groupForRound returns the group to run a round in: the known group or, if there
// is none, the group of the value that this host has accepted.
func (c *Control) groupForRound(local acceptedValue) contract.Group {
	if g := c.knownGroup(); g.Formed() {
		return g
	}
	if reg, err := decodeRegister(local.value); err == nil {
		c.ObserveGroup(reg.Tables.Group)
	}
	return c.knownGroup()
}

func (c *Control) setGroup(g contract.Group) {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	c.group = g.Clone()
}

// ObserveGroup adopts a group that is in force on another host if it is newer than
// the known one, so that a host that missed membership changes finds the current
// members.
func (c *Control) ObserveGroup(g contract.Group) {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	if g.Epoch > c.group.Epoch {
		c.group = g.Clone()
	}
}

// observePromisedGroup adopts the group of the latest value in the promises of a
// lost round if that group is newer than the known one.
func (c *Control) observePromisedGroup(round *quorum.Round) {
	_, raw := round.Value()
	if reg, err := decodeRegister(raw); err == nil {
		c.ObserveGroup(reg.Tables.Group)
	}
}

// sendPrepare sends Prepare to the hosts of the round and reports whether a quorum
// promised.
func (c *Control) sendPrepare(ctx context.Context, r *quorum.Round, localBallot contract.Ballot) bool {
	m := &contract.Prepare{Ballot: r.Ballot(), Forming: r.Forming(), Have: localBallot}
	return c.collectReplies(ctx, r, m, func(from contract.HostID, m contract.Message) bool {
		p, ok := m.(*contract.Promise)
		return ok && r.HandlePromise(from, p)
	})
}

// sendAccept sends Accept with the value to the hosts of the round and reports
// whether a quorum accepted it.
func (c *Control) sendAccept(ctx context.Context, r *quorum.Round, value []byte) bool {
	m := &contract.Accept{Ballot: r.Ballot(), Value: value}
	return c.collectReplies(ctx, r, m, func(from contract.HostID, m contract.Message) bool {
		a, ok := m.(*contract.Accepted)
		return ok && r.HandleAccepted(from, a)
	})
}

// hostReply is one host's reply to a request; msg is nil if there was none.
type hostReply struct {
	from contract.HostID
	msg  contract.Message
}

// collectReplies sends m to each host of the round and passes the replies to
// handle. It returns true once handle reports a quorum, and false if the round is
// lost or all hosts have replied or failed.
func (c *Control) collectReplies(ctx context.Context, r *quorum.Round, m contract.Message, handle func(contract.HostID, contract.Message) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts := r.Hosts()
	replies := make(chan hostReply, len(hosts))
	for _, id := range hosts {
		go func() { replies <- hostReply{from: id, msg: c.call(ctx, id, m)} }()
	}
	for range hosts {
		reply := <-replies
		if reply.msg != nil && handle(reply.from, reply.msg) {
			return true
		}
		if r.Phase() == quorum.PhaseLost {
			return false
		}
	}
	return false
}

// call sends m to a host, which may be this one, and returns the reply, or nil if
// the call failed.
func (c *Control) call(ctx context.Context, id contract.HostID, m contract.Message) contract.Message {
	if id == c.cfg.Self {
		return c.Receive(ctx, m)
	}
	peer := c.cfg.Peer(id)
	if peer == nil {
		return nil
	}
	reply, err := peer.Call(ctx, m)
	if err != nil {
		return nil
	}
	return reply
}
