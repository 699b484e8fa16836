package uplink

import (
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// TestEvacuatedDomainsComeFromTheLatestLeader guards against work in an evacuated
// domain, or none in one that is back, after a message of a hub that does not lead, of
// an earlier leader, or one that was delayed on another path.
func TestEvacuatedDomainsComeFromTheLatestLeader(t *testing.T) {
	steps := []struct {
		name  string
		state contract.HubState
		want  bool
	}{
		{"a hub that does not lead", contract.HubState{Term: 4, Stamp: 1, Evacuated: []string{"a"}}, false},
		{"a leader", contract.HubState{Term: 4, Leads: true, Stamp: 10, Evacuated: []string{"a", "b"}}, true},
		{"a later term without a leader", contract.HubState{Term: 6, Stamp: 11}, true},
		{"an earlier leader", contract.HubState{Term: 3, Leads: true, Stamp: 12}, true},
		{"a delayed message of the leader", contract.HubState{Term: 4, Leads: true, Stamp: 9}, true},
		{"the leader", contract.HubState{Term: 4, Leads: true, Stamp: 13, Evacuated: []string{"b"}}, false},
		{"the next leader, whose clock is behind", contract.HubState{Term: 5, Leads: true, Stamp: 2, Evacuated: []string{"a"}}, true},
		{"a leader of an earlier version", contract.HubState{Term: 7, Leads: true}, false},
	}
	u := New(Config{Log: logr.Discard()}, &leaderRecorder{})
	h := &hubHandler{u, &hubConn{}}
	for _, s := range steps {
		h.recordState(1, nil, &s.state)
		must.Eq(t, s.want, u.Evacuated("a"), must.Sprint(s.name))
	}
}
