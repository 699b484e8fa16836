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

// Bounds of a change and of the wait between two of its rounds.
const (
	minRoundWait = 5 * time.Millisecond
	maxRoundWait = 200 * time.Millisecond
	callTimeout  = 1500 * time.Millisecond
	changeLimit  = 10 * time.Second
)

var (
	// errRoundLost says that a round was not chosen; another may be.
	errRoundLost = errors.New("round lost")
	// errGroupMoved says that the value named another group than the round's.
	errGroupMoved = errors.New("another group is in force")
)

// chosen is a value that a quorum has accepted.
type chosen struct {
	accepted
	register Register
}

// step makes the next register from the present one. An error refuses the
// change.
type step func(Register) (Register, error)

// change runs rounds until one is chosen or the time is up. A refusal is
// given only once the register that it rests on is chosen. Racing rounds back
// off at random.
func (c *Control) change(ctx context.Context, f step) (chosen, error) {
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	sent := false
	select {
	case <-c.turn:
		defer func() { c.turn <- struct{}{} }()
	case <-ctx.Done():
		return chosen{}, c.noQuorum(sent)
	}
	for wait := minRoundWait; ; wait = min(2*wait, maxRoundWait) {
		v, err := c.tryChange(ctx, f, &sent)
		switch {
		case err == errGroupMoved && ctx.Err() == nil:
			continue
		case err != errRoundLost && err != errGroupMoved:
			return v, err
		}
		metrics.QuorumRoundsLost.Add(1)
		select {
		case <-ctx.Done():
			return chosen{}, c.noQuorum(sent)
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}

// noQuorum is the answer without a majority. Once an accept was sent, a later
// round may find the value and choose it.
func (c *Control) noQuorum(sent bool) error {
	if sent {
		return contract.ErrEditUnknown.With("no majority of the control hosts confirmed the edit in time: it may come into force")
	}
	if !c.knownGroup().Formed() {
		return contract.ErrNoQuorum.Refuse(time.Second, "the control hosts agree for the first time once all of %v answer", c.cfg.First)
	}
	return contract.ErrNoQuorum.Refuse(time.Second, "no majority of the control hosts answered: nothing was changed, and traffic goes on by the version in force")
}

// tryChange runs one round. It sets sent once a changed value may have reached
// a host.
func (c *Control) tryChange(ctx context.Context, f step, sent *bool) (chosen, error) {
	metrics.QuorumRounds.Add(1)
	have := c.accepted()
	group := c.groupOf(have)
	round := c.newRound(group)
	if !c.prepareAll(ctx, round, have.ballot) {
		c.sawBallot(round.HigherBallot())
		c.learnGroup(round)
		return chosen{}, errRoundLost
	}
	cur, raw, err := c.current(round, have)
	if err != nil {
		return chosen{}, err
	}
	if !reflect.DeepEqual(cur.Tables.Group, group) && raw != nil {
		c.setGroup(cur.Tables.Group)
		return chosen{}, errGroupMoved
	}
	next, refused := f(cur)
	if refused != nil {
		next = cur
	}
	nextRaw, err := next.encode()
	if err != nil {
		return chosen{}, err
	}
	same := bytes.Equal(raw, nextRaw)
	if same && round.Unanimous() {
		ballot, _ := round.Value()
		return c.learned(chosen{accepted{ballot, raw}, cur}), refused
	}
	round.Propose(next.Tables.Group)
	*sent = *sent || !same
	if !c.acceptAll(ctx, round, nextRaw) {
		c.sawBallot(round.HigherBallot())
		return chosen{}, errRoundLost
	}
	return c.learned(chosen{accepted{round.Ballot(), nextRaw}, next}), refused
}

// learned puts a chosen value in force in this process.
func (c *Control) learned(v chosen) chosen {
	c.setGroup(v.register.Tables.Group)
	c.cfg.Learned(v.register.Tables)
	return v
}

// current returns the register that the promises carried, with its encoding;
// the encoding is nil where the group is only being formed.
func (c *Control) current(round *quorum.Round, have accepted) (Register, []byte, error) {
	ballot, raw := round.Value()
	if ballot == (contract.Ballot{}) {
		reg, err := c.first(round)
		return reg, nil, err
	}
	if ballot == have.ballot {
		raw = have.value
	}
	reg, err := decodeRegister(raw)
	if err != nil {
		return Register{}, nil, contract.ErrInternal.With("the register does not decode: %v", err)
	}
	return reg, raw, nil
}

// first returns the register before the first edit, with the group that forms.
// The specification begins after it.
func (c *Control) first(round *quorum.Round) (Register, error) {
	if err := c.mayForm(); err != nil {
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

// mayForm refuses to begin again beside a version in force.
func (c *Control) mayForm() error {
	if v := c.cfg.InForce().Version; v > 0 {
		return contract.ErrNoQuorum.With("the control hosts have empty disks, but version %d is in force here: bring back a host with its disk, or stop all entry and control hosts together, start them and restore a backup", v)
	}
	return nil
}

// firstEpoch is the epoch of the group that forms.
const firstEpoch = 1

func (c *Control) newRound(g contract.Group) *quorum.Round {
	b := c.nextBallot()
	if !g.Formed() {
		return quorum.NewFormingRound(b, c.cfg.First)
	}
	return quorum.NewRound(b, g)
}

func (c *Control) nextBallot() contract.Ballot {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	c.round++
	return contract.Ballot{Round: c.round, Host: c.cfg.Self, Nonce: c.nonce}
}

func (c *Control) sawBallot(b contract.Ballot) {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	c.round = max(c.round, b.Round)
}

func (c *Control) knownGroup() contract.Group {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	return c.group.Clone()
}

// groupOf returns the group to run a round in: where this host has learned of
// none, that of the value it has accepted.
func (c *Control) groupOf(have accepted) contract.Group {
	if g := c.knownGroup(); g.Formed() {
		return g
	}
	if reg, err := decodeRegister(have.value); err == nil {
		c.SawGroup(reg.Tables.Group)
	}
	return c.knownGroup()
}

func (c *Control) setGroup(g contract.Group) {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	c.group = g.Clone()
}

// SawGroup takes a group that is in force elsewhere, so that a host that
// missed changes of the members finds the present ones.
func (c *Control) SawGroup(g contract.Group) {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	if g.Epoch > c.group.Epoch {
		c.group = g.Clone()
	}
}

// learnGroup takes a newer group from the promises of a round without a
// quorum.
func (c *Control) learnGroup(round *quorum.Round) {
	_, raw := round.Value()
	if reg, err := decodeRegister(raw); err == nil {
		c.SawGroup(reg.Tables.Group)
	}
}

func (c *Control) prepareAll(ctx context.Context, r *quorum.Round, have contract.Ballot) bool {
	m := &contract.Prepare{Ballot: r.Ballot(), Forming: r.Forming(), Have: have}
	return c.gather(ctx, r, m, func(from contract.HostID, m contract.Message) bool {
		p, ok := m.(*contract.Promise)
		return ok && r.HandlePromise(from, p)
	})
}

func (c *Control) acceptAll(ctx context.Context, r *quorum.Round, value []byte) bool {
	m := &contract.Accept{Ballot: r.Ballot(), Value: value}
	return c.gather(ctx, r, m, func(from contract.HostID, m contract.Message) bool {
		a, ok := m.(*contract.Accepted)
		return ok && r.HandleAccepted(from, a)
	})
}

// answer is one host's answer in a phase.
type answer struct {
	from contract.HostID
	msg  contract.Message
}

// gather asks each host and hands the answers to take until it reports a
// quorum or the round is lost.
func (c *Control) gather(ctx context.Context, r *quorum.Round, m contract.Message, take func(contract.HostID, contract.Message) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts := r.Hosts()
	answers := make(chan answer, len(hosts))
	for _, id := range hosts {
		go func() { answers <- answer{from: id, msg: c.ask(ctx, id, m)} }()
	}
	for range hosts {
		a := <-answers
		if a.msg != nil && take(a.from, a.msg) {
			return true
		}
		if r.Phase() == quorum.PhaseLost {
			return false
		}
	}
	return false
}

// ask returns one host's answer, or nil.
func (c *Control) ask(ctx context.Context, id contract.HostID, m contract.Message) contract.Message {
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
