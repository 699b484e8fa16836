package agent

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// drainReplyDelay lets the reply to a drain request leave before an idle agent
// closes its links.
const drainReplyDelay = 100 * time.Millisecond

// receiveAdmin answers an operator's request that an entry passes on.
func (a *Agent) receiveAdmin(l *link.Link, seq uint64, m contract.Message) {
	switch m.(type) {
	case *contract.StatusRequest:
		l.Reply(seq, &contract.StatusReply{Tables: a.tablesVersion()})
	case *contract.DrainRequest:
		a.cfg.Log.Info("drain asked", "by", l.Remote().Host)
		l.Reply(seq, &contract.DrainReply{})
		time.AfterFunc(drainReplyDelay, a.cfg.Stop)
	}
}

func (a *Agent) tablesVersion() contract.Version {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tables
}
