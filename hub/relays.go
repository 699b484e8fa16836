package hub

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

const (
	// relayAnnounceInterval is the minimum time between two announcements of the
	// relays on all links.
	relayAnnounceInterval = 2 * time.Second
	// relaysPerDomain is the number of relays that a process is told of in its own
	// failure domain, and again in the others. It covers the loss of most of them.
	relaysPerDomain = 4
)

// relayLinkUp tells the process at the other end of a new link which relays it may
// use. If the process is a relay itself, all others are told soon.
func (h *Hub) relayLinkUp(l *link.Link) {
	h.sendRelays(l, h.relays())
	h.relaysChanged = h.relaysChanged || l.Remote().RelayAddr != ""
}

func (h *Hub) relayLinkDown(l *link.Link) {
	h.relaysChanged = h.relaysChanged || l.Remote().RelayAddr != ""
}

// announceRelays announces the relays on all links if they have changed.
func (h *Hub) announceRelays(now time.Duration) {
	if !h.relaysChanged || now-h.relaysAnnouncedAt < relayAnnounceInterval {
		return
	}
	h.relaysChanged, h.relaysAnnouncedAt = false, now
	all := h.relays()
	for l := range h.inbound {
		h.sendRelays(l, all)
	}
}

func (h *Hub) sendRelays(l *link.Link, all []contract.Hello) {
	m := &contract.RelayList{Addrs: chooseRelays(all, l.Remote())}
	if len(m.Addrs) == 0 {
		return
	}
	if err := l.Send(m); err != nil {
		h.log.V(1).Info("relays not sent", "peer", l.Remote().Host, "err", err)
	}
}

// relays returns the relays that have a link to this hub, in the order of their
// addresses.
func (h *Hub) relays() []contract.Hello {
	var out []contract.Hello
	for l := range h.inbound {
		if l.Remote().RelayAddr != "" {
			out = append(out, l.Remote())
		}
	}
	slices.SortFunc(out, func(a, b contract.Hello) int { return cmp.Compare(a.RelayAddr, b.RelayAddr) })
	return out
}

// chooseRelays returns the addresses of the relays that a process is told of: some
// of its own failure domain and some of the others. The hash of the process's host
// spreads the processes over the relays.
func chooseRelays(all []contract.Hello, process contract.Hello) []string {
	if len(all) == 0 {
		return nil
	}
	hash := fnv.New32a()
	hash.Write([]byte(process.Host))
	first := int(hash.Sum32() % uint32(len(all)))
	var near, far []string
	for i := range all {
		r := all[(first+i)%len(all)]
		switch {
		case r.Host == process.Host:
		case r.FailureDomain == process.FailureDomain && len(near) < relaysPerDomain:
			near = append(near, r.RelayAddr)
		case r.FailureDomain != process.FailureDomain && len(far) < relaysPerDomain:
			far = append(far, r.RelayAddr)
		}
	}
	return append(near, far...)
}
