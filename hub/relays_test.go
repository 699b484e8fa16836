package hub

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// TestChooseRelays gives 240 processes of 6 failure domains their relays out of 55:
// each gets some of its own domain and some of others, none gets itself, and no relay
// is named far more often than the others.
func TestChooseRelays(t *testing.T) {
	const processes, relays, domains = 240, 55, 6
	var all []contract.Hello
	for i := range relays {
		all = append(all, contract.Hello{Host: contract.HostID(fmt.Sprint("e", i)), FailureDomain: fmt.Sprint(i % domains), RelayAddr: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	named := map[string]int{}
	for i := range processes {
		p := contract.Hello{Host: contract.HostID(fmt.Sprint("s", i)), FailureDomain: fmt.Sprint(i % domains)}
		got := chooseRelays(all, p)
		must.Len(t, 2*relaysPerDomain, got)
		for _, addr := range got {
			named[addr]++
		}
	}
	const mean = processes * 2 * relaysPerDomain / relays
	for addr, n := range named {
		must.LessEq(t, 3*mean, n, must.Sprint(addr))
	}
	for _, self := range all {
		must.SliceNotContains(t, chooseRelays(all, self), self.RelayAddr)
	}
	must.Len(t, 0, chooseRelays(nil, contract.Hello{Host: "s"}))
}
