package node

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/settings"
)

// The connections of callers and operators together leave sockets to the links, however few
// there are.
func TestConnectionsStayWithinTheSockets(t *testing.T) {
	for _, sockets := range []int{32, 100, 300, 1024, 1 << 16} {
		cfg := settings.Settings{MaxSockets: sockets}
		callers, operators := maxConns(cfg)-operatorConns(cfg), operatorConns(cfg)
		must.LessEq(t, sockets*3/4, callers+operators)
		must.Between(t, 1, operators, callers)
	}
	must.Eq(t, maxOperatorConns, operatorConns(settings.Settings{MaxSockets: 1 << 16}))
	must.Greater(t, 0, maxConns(settings.Settings{}))
}
