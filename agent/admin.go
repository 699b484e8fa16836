package agent

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// drainReplyDelay is the delay between the reply to a drain request and the
// drain. An idle agent closes its links at once when it drains, so the reply must
// be sent before that.
const drainReplyDelay = 100 * time.Millisecond

// handleAdmin answers an operator's request that an entry forwards.
func (a *Agent) handleAdmin(l *link.Link, seq uint64, m contract.Message) {
	switch m.(type) {
	case *contract.StatusRequest:
		l.Reply(seq, &contract.StatusReply{TablesVersion: a.tablesVersion()})
	case *contract.DrainRequest:
		a.cfg.Log.Info("drain requested", "by", l.Remote().Host)
		l.Reply(seq, &contract.DrainReply{})
		time.AfterFunc(drainReplyDelay, a.cfg.Stop)
	}
}

func (a *Agent) tablesVersion() contract.Version {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.knownTablesVersion
}
