package metrics

import "expvar"

// Messages on links, by kind. Each message between the system's processes is
// counted once in the sum over all entries and control hosts of both.
var (
	// MessagesSent counts messages queued on links.
	MessagesSent = expvar.NewMap("caraway_messages_sent")
	// AgentMessagesReceived counts messages that came from agents.
	AgentMessagesReceived = expvar.NewMap("caraway_agent_messages_received")
)
