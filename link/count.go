package link

import (
	"fmt"
	"slices"
	"strings"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// kindNames holds the name of each message kind, as used in metrics.
var kindNames = func() (names [256]string) {
	for k := range names {
		names[k] = "unknown"
		if m := contract.NewMessage(contract.MessageKind(k)); m != nil {
			names[k] = strings.TrimPrefix(fmt.Sprintf("%T", m), "*contract.")
		}
	}
	return names
}()

// countSent counts a message that was queued on a link, by kind.
func countSent(m contract.Message) {
	metrics.MessagesSent.Add(kindNames[m.MessageKind()], 1)
}

// countReceived counts a message received from an agent, by kind. Messages from
// entries and control hosts are counted by the host that sends them; the total over
// these hosts, which leaves out agents, then counts each message once.
func (l *Link) countReceived(m contract.Message) {
	if slices.Contains(l.remote.Roles, contract.RoleAgent) {
		metrics.AgentMessagesReceived.Add(kindNames[m.MessageKind()], 1)
	}
}
