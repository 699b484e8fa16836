package hub

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// leaderStates passes on the states that a hub announces while it leads.
type leaderStates chan contract.HubState

func (leaderStates) LinkUp(*link.Link)          {}
func (leaderStates) LinkDown(*link.Link, error) {}
func (s leaderStates) Receive(_ *link.Link, _ uint64, m contract.Message) {
	if state, ok := m.(*contract.HubState); ok && state.Leads {
		select {
		case s <- *state:
		default:
		}
	}
}

// TestLeaderTellsFirstOfHost: a process may take the leader's term for unknown to its
// predecessors only if the leader has told none of them, whatever has become of it.
func TestLeaderTellsFirstOfHost(t *testing.T) {
	c := newCluster(t, 3)
	told := func(host contract.HostID, inc contract.Incarnation) contract.HubState {
		states := make(leaderStates, 1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, addr := range c.seeds() {
			d := &link.Dialer{Addr: addr, Local: contract.Hello{Host: host, Incarnation: inc, Roles: []contract.Role{contract.RoleAgent}}, Config: LinkConfig, Handler: states}
			go d.Run(ctx)
		}
		return <-states
	}
	c.waitLeader()
	first := told("w", 1)
	must.True(t, first.FirstOfHost, must.Sprint("nobody was told before"))
	must.True(t, told("w", 1).FirstOfHost, must.Sprint("the same process, on another link"))
	must.False(t, told("w", 2).FirstOfHost, must.Sprint("an earlier process was told"))
	must.True(t, told("other", 3).FirstOfHost)
	c.stopHub(c.leaderIndex())
	next := told("w", 4)
	must.Greater(t, first.Term, next.Term)
	must.True(t, next.FirstOfHost, must.Sprint("the next leader has told nobody"))
}
