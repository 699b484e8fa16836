package control

import (
	"context"
	"errors"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/quorum"
)

// errRoundLost says that a round was not chosen; another may be.
var errRoundLost = errors.New("round lost")

// tryChange runs one round.
func (c *Control) tryChange(ctx context.Context, f func(Register) (Register, error)) (Register, error) {
	round := quorum.NewRound(c.nextBallot(), c.cfg.Members)
	if !c.prepareAll(ctx, round) {
		c.sawBallot(round.Higher())
		return Register{}, errRoundLost
	}
	cur, err := decodeRegister(round.Value())
	if err != nil {
		return Register{}, contract.ErrInternal.With("the register does not decode: %v", err)
	}
	next, err := f(cur)
	if err != nil {
		return cur, err
	}
	raw, err := next.encode()
	if err != nil {
		return cur, err
	}
	round.Propose()
	if !c.acceptAll(ctx, round, raw) {
		c.sawBallot(round.Higher())
		return Register{}, errRoundLost
	}
	return next, nil
}

func (c *Control) nextBallot() contract.Ballot {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	c.round++
	return contract.Ballot{Round: c.round, Host: c.cfg.Self}
}

func (c *Control) sawBallot(b contract.Ballot) {
	c.roundMu.Lock()
	defer c.roundMu.Unlock()
	c.round = max(c.round, b.Round)
}

func (c *Control) prepareAll(ctx context.Context, r *quorum.Round) bool {
	return c.gather(ctx, r, &contract.Prepare{Ballot: r.Ballot()}, func(from contract.HostID, m contract.Message) bool {
		p, ok := m.(*contract.Promise)
		return ok && r.Promise(from, p)
	})
}

func (c *Control) acceptAll(ctx context.Context, r *quorum.Round, value []byte) bool {
	return c.gather(ctx, r, &contract.Accept{Ballot: r.Ballot(), Value: value}, func(from contract.HostID, m contract.Message) bool {
		a, ok := m.(*contract.Accepted)
		return ok && r.Accepted(from, a)
	})
}

// answer is one member's answer in a phase.
type answer struct {
	from contract.HostID
	msg  contract.Message
}

// gather asks each member and hands the answers to take until it reports a
// quorum or the round is lost.
func (c *Control) gather(ctx context.Context, r *quorum.Round, m contract.Message, take func(contract.HostID, contract.Message) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answers := make(chan answer, len(c.cfg.Members))
	for _, id := range c.cfg.Members {
		go func() { answers <- answer{from: id, msg: c.ask(ctx, id, m)} }()
	}
	for range c.cfg.Members {
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

// ask returns one member's answer, or nil.
func (c *Control) ask(ctx context.Context, id contract.HostID, m contract.Message) contract.Message {
	if id == c.cfg.Self {
		return c.Receive(ctx, m)
	}
	peer := c.cfg.Peers[id]
	if peer == nil {
		return nil
	}
	reply, err := peer.Call(ctx, m)
	if err != nil {
		return nil
	}
	return reply
}
