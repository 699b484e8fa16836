package control

import (
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/metrics"
	"github.com/carawaylanding/carawaylanding/quorum"
)

// prepare returns the reply to Prepare. A host that has accepted no value refuses to
// form the first group while tables are in force in its process.
func (c *Control) prepare(m *contract.Prepare) (contract.Message, error) {
	if m.Forming && c.accepted().ballot == (contract.Ballot{}) {
		if err := c.checkMayForm(); err != nil {
			return nil, err
		}
	}
	var reply *contract.Promise
	err := c.vote(func(a *quorum.Acceptor) bool {
		reply = a.Prepare(m)
		return reply.OK
	})
	return reply, err
}

// accept returns the reply to Accept.
func (c *Control) accept(m *contract.Accept) (contract.Message, error) {
	var reply *contract.Accepted
	err := c.vote(func(a *quorum.Acceptor) bool {
		reply = a.Accept(m)
		return reply.OK
	})
	return reply, err
}

// copy stores the chosen value of a Copy and returns the reply.
func (c *Control) copy(m *contract.Copy) (contract.Message, error) {
	var reply *contract.Copied
	err := c.vote(func(a *quorum.Acceptor) bool {
		reply = a.Copy(m)
		return true
	})
	return reply, err
}

// vote calls decide with the acceptor. If decide reports that it changed the
// acceptor's state, vote syncs the state before it returns, so that no reply is
// sent before the state that it depends on is on disk. If the sync fails, it is
// unknown which state is on disk, so the next vote reads the store again.
func (c *Control) vote(decide func(*quorum.Acceptor) (changed bool)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.ensureLoaded(); err != nil {
		return cannotVoteError(err)
	}
	before := c.acceptor.State()
	if !decide(c.acceptor) {
		return nil
	}
	if err := c.cfg.Store.Save(c.acceptor.State()); err != nil {
		c.acceptor = quorum.NewAcceptor(before)
		c.needsReload = true
		metrics.QuorumSaveFailures.Add(1)
		c.cfg.Log.Error(err, "failed to sync acceptor state", "remedy", "free space on the disk of the data folder or replace it")
		return cannotVoteError(err)
	}
	return nil
}

// cannotVoteError returns the error of a host that refuses to vote because of err.
func cannotVoteError(err error) error {
	return contract.ErrInternal.With("this host does not vote: %v", err)
}

// ensureLoaded loads the acceptor's state if the store was not read yet or a save
// has failed since. It assigns an ID to a disk that is used for the first time.
// The caller must hold c.mu.
func (c *Control) ensureLoaded() error {
	if !c.needsReload {
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
	c.needsReload = false
	return nil
}

// acceptedValue is an encoded register with the ballot under which it was
// accepted. The ballot is zero if there is no value.
type acceptedValue struct {
	ballot contract.Ballot
	value  []byte
}

// accepted returns the value that this host accepted last.
func (c *Control) accepted() acceptedValue {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.acceptor.State()
	return acceptedValue{st.Accepted, st.Value}
}

// voterState returns the reply to VoterQuery: the disk, the accepted version, and
// the reason for which the host refuses to vote, if it does.
func (c *Control) voterState() *contract.VoterState {
	c.mu.Lock()
	err := c.ensureLoaded()
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
