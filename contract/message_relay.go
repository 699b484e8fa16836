package contract

// RelayOpen is the first message on a connection to a relay. It asks the relay to
// connect to a control host. The bytes that follow are those of the link to it.
type RelayOpen struct {
	// Hub is the link address of the control host.
	Hub string
}

// MessageKind returns KindRelayOpen.
func (*RelayOpen) MessageKind() MessageKind { return KindRelayOpen }

// RelayList names relays through which the receiver may reach the control hosts that
// it can't reach directly. A control host sends it when a link opens and when the
// relays change.
type RelayList struct {
	Addrs []string
}

// MessageKind returns KindRelayList.
func (*RelayList) MessageKind() MessageKind { return KindRelayList }

func init() {
	registerMessages(
		func() Message { return new(RelayOpen) },
		func() Message { return new(RelayList) },
	)
}
