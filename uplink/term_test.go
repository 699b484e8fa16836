package uplink

import (
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// TestUnknownBefore: only the term of which the leader says so may fence the calls of an
// earlier process of this host.
func TestUnknownBefore(t *testing.T) {
	u := New(Config{Log: logr.Discard()}, &leaderRecorder{})
	h := &hubHandler{u, &hubConn{}}
	for _, s := range []struct {
		name  string
		state contract.HubState
		want  bool
	}{
		{"a leader of an earlier version, or one that has told a process before", contract.HubState{Term: 4, Leads: true}, false},
		{"a hub that does not lead", contract.HubState{Term: 5, FirstOfHost: true}, false},
		{"a leader that has told none", contract.HubState{Term: 5, Leads: true, FirstOfHost: true}, true},
		{"the next leader, which has told a process before", contract.HubState{Term: 6, Leads: true}, false},
	} {
		h.recordState(1, nil, &s.state)
		must.Eq(t, s.want, u.UnknownBefore(s.state.Term), must.Sprint(s.name))
	}
	must.True(t, u.UnknownBefore(5))
	must.False(t, u.UnknownBefore(0))
}
