package settings

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// hubArgs returns valid arguments of a host with the entry role and the control role,
// followed by more.
func hubArgs(t *testing.T, more ...string) []string {
	return append([]string{"-id", "a", "-roles", "entry,control", "-failure-domain", "patan", "-data-dir", t.TempDir(), "-control", "a,b",
		"-link-addr", "10.0.0.1:9001", "-http-addr", "10.0.0.1:8080", "-admin-addr", "10.0.0.1:9090",
		"-peers", "a=10.0.0.1:9001,b=10.0.0.2:9001"}, more...)
}

// workerArgs returns valid arguments of an agent, followed by more.
func workerArgs(more ...string) []string {
	return append([]string{"-id", "w", "-roles", "agent", "-failure-domain", "patan", "-http-addr", "10.0.0.9:8081",
		"-entries", "10.0.0.1:9001", "-upstream", "http://127.0.0.1:7000", "-pools", "formula"}, more...)
}

func TestValidSettings(t *testing.T) {
	s, err := Parse(hubArgs(t), io.Discard)
	must.NoError(t, err)
	must.Eq(t, []Peer{{Host: "b", Addr: "10.0.0.2:9001"}}, s.Peers)
	s, err = Parse(workerArgs(), io.Discard)
	must.NoError(t, err)
	must.Eq(t, defaultSlots, s.Capacity.Slots)
	must.Eq(t, []contract.Role{contract.RoleAgent}, s.Roles)
}

func TestFlagsOverrideEnvironment(t *testing.T) {
	t.Setenv("CARAWAY_RACK", "r7")
	t.Setenv("CARAWAY_DRAIN_LIMIT", "9s")
	s, err := Parse(workerArgs("-rack", "r8"), io.Discard)
	must.NoError(t, err)
	must.Eq(t, "r8", s.Rack)
	must.Eq(t, 9*time.Second, s.DrainLimit)
}

// Parse must report all errors together, each with a remedy after a colon.
func TestAllErrorsAreReportedTogether(t *testing.T) {
	t.Setenv("CARAWAY_FAILUREDOMAIN", "patan")
	_, err := Parse([]string{"-roles", "entry,cook", "-http-addr", "desk:80", "-silence", "soon", "-slots", "many", "-peers", "b", "-control", "z", "stray"}, io.Discard)
	must.Error(t, err)
	for _, want := range []string{
		"-id is empty", "-failure-domain is empty", `"cook" is not known`, `-http-addr "desk:80" is not IP:port`, "-link-addr", "-admin-addr",
		`-silence "soon" is not valid`, `-slots "many" is not valid`, `-peers: "b" is not ID=IP:port`, `-control names "z"`,
		"CARAWAY_FAILUREDOMAIN is not a setting", `"stray" is not a setting`,
	} {
		must.StrContains(t, err.Error(), want)
	}
	for line := range strings.SplitSeq(err.Error(), "\n") {
		must.StrContains(t, line, ": ", must.Sprintf("%q names no remedy", line))
	}
}

func TestInvalidCombinations(t *testing.T) {
	for _, tc := range []struct {
		name string
		args []string
		want string
	}{
		{"one address twice", hubArgs(t, "-admin-addr", "10.0.0.1:8080"), "give each its own port"},
		{"peer twice", hubArgs(t, "-peers", "b=10.0.0.2:9001,b=10.0.0.3:9001"), "twice"},
		{"control host twice", hubArgs(t, "-control", "a,a"), "twice"},
		{"no data folder", hubArgs(t, "-data-dir", "/nonexistent"), "create it"},
		{"agent beside entry", hubArgs(t, "-roles", "entry,agent"), "run it as its own process"},
		{"silence under two heartbeats", workerArgs("-heartbeat", "2s"), "raise it"},
		{"no slots", workerArgs("-slots", "0"), "give one or more"},
		{"upstream is no URL", workerArgs("-upstream", "127.0.0.1:7000"), "give http://IP:port"},
		{"ID that is unsafe in a list", workerArgs("-id", "a=b"), "use letters"},
		{"agent's admin address", workerArgs("-admin-addr", "here"), "-admin-addr"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse(tc.args, io.Discard)
			must.ErrorContains(t, err, tc.want)
		})
	}
}
