package control

import (
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/metrics"
	"github.com/carawaylanding/carawaylanding/quorum"
)

// prepare votes on a Prepare.
func (c *Control) prepare(m *contract.Prepare) (contract.Message, error) {
	if m.Forming && c.accepted().ballot == (contract.Ballot{}) {
		if err := c.mayForm(); err != nil {
			return nil, err
		}
	}
	var answer *contract.Promise
	err := c.vote(func(a *quorum.Acceptor) bool {
		answer = a.Prepare(m)
		return answer.OK
	})
	return answer, err
}

// accept votes on an Accept.
func (c *Control) accept(m *contract.Accept) (contract.Message, error) {
	var answer *contract.Accepted
	err := c.vote(func(a *quorum.Acceptor) bool {
		answer = a.Accept(m)
		return answer.OK
	})
	return answer, err
}

// copy takes a copy of a chosen value.
func (c *Control) copy(m *contract.Copy) (contract.Message, error) {
	var answer *contract.Copied
	err := c.vote(func(a *quorum.Acceptor) bool {
		answer = a.Copy(m)
		return true
	})
	return answer, err
}

// vote lets the acceptor decide, and syncs its state before the answer leaves
// where the decision changed it.
func (c *Control) vote(decide func(*quorum.Acceptor) (changed bool)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.reload(); err != nil {
		return refusal(err)
	}
	before := c.acceptor.State()
	if !decide(c.acceptor) {
		return nil
	}
	if err := c.cfg.Store.Save(c.acceptor.State()); err != nil {
		c.acceptor = quorum.NewAcceptor(before)
		c.suspect = true
		metrics.QuorumSaveFailures.Add(1)
		c.cfg.Log.Error(err, "state not synced", "remedy", "free space on the disk of the data folder or replace it")
		return refusal(err)
	}
	return nil
}

func refusal(err error) error {
	return contract.ErrInternal.With("this host does not vote: %v", err)
}

// reload reads the store again where a failed save has left open what it
// holds, and names a disk that is used for the first time. The caller holds
// c.mu.
func (c *Control) reload() error {
	if !c.suspect {
		return nil
	}
	st, err := c.cfg.Store.Load()
	if err != nil {
		return err
	}
	if st.Disk == "" {
		st = quorum.AcceptorState{Disk: contract.NewDiskID()}
		if err := c.cfg.Store.Save(st); err != nil {
			return err
		}
	}
	c.acceptor = quorum.NewAcceptor(st)
	c.suspect = false
	return nil
}

// accepted is a value with the ballot that it was accepted under.
type accepted struct {
	ballot contract.Ballot
	value  []byte
}

// accepted returns what this host has accepted.
func (c *Control) accepted() accepted {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.acceptor.State()
	return accepted{st.Accepted, st.Value}
}

// voterState reports on this host's vote.
func (c *Control) voterState() *contract.VoterState {
	c.mu.Lock()
	err := c.reload()
	st := c.acceptor.State()
	c.mu.Unlock()
	out := &contract.VoterState{Disk: st.Disk, Voter: st.Voter, Accepted: st.Accepted}
	if err != nil {
		out.Fault = err.Error()
	}
	reg, err := decodeRegister(st.Value)
	if err != nil {
		out.Fault = err.Error()
	}
	out.Version = reg.Tables.Version
	return out
}
