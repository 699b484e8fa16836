package contract

// The message kinds of operators' requests that one process forwards to another.
const (
	KindStatusRequest MessageKind = 80
	KindStatusReply   MessageKind = 81
	KindDrainRequest  MessageKind = 82
	KindDrainReply    MessageKind = 83
)

// StatusRequest asks a process for its status.
type StatusRequest struct{}

// StatusReply is the reply to StatusRequest.
type StatusReply struct {
	// TablesVersion is the tables version in force at the sender.
	TablesVersion Version
}

// DrainRequest asks a process to drain and exit, as SIGTERM does.
type DrainRequest struct{}

// DrainReply is the reply to DrainRequest: the process has started to drain.
type DrainReply struct{}

// MessageKind implements Message.
func (*StatusRequest) MessageKind() MessageKind { return KindStatusRequest }

// MessageKind implements Message.
func (*StatusReply) MessageKind() MessageKind { return KindStatusReply }

// MessageKind implements Message.
func (*DrainRequest) MessageKind() MessageKind { return KindDrainRequest }

// MessageKind implements Message.
func (*DrainReply) MessageKind() MessageKind { return KindDrainReply }

func init() {
	registerMessages(
		func() Message { return new(StatusRequest) },
		func() Message { return new(StatusReply) },
		func() Message { return new(DrainRequest) },
		func() Message { return new(DrainReply) },
	)
}
