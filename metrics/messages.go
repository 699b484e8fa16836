package metrics

import "expvar"

// Counters of messages on links, by message kind. The sum of both maps over all
// entries and control hosts counts each message between processes once.
var (
	// MessagesSent counts messages queued on links.
	MessagesSent = expvar.NewMap("caraway_messages_sent")
	// AgentMessagesReceived counts messages received from agents.
	AgentMessagesReceived = expvar.NewMap("caraway_agent_messages_received")
)
