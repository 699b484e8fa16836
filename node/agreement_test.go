package node_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/control"
	"github.com/carawaylanding/carawaylanding/node"
)

// controlGroup is a group of three control hosts that run inside the test process.
type controlGroup struct {
	addrs map[string]string
	dirs  map[string]string
	hosts map[string]*process
}

// startControlGroup starts the hosts a, b and c.
func startControlGroup(t *testing.T) *controlGroup {
	t.Helper()
	g := &controlGroup{addrs: make(map[string]string), dirs: make(map[string]string), hosts: make(map[string]*process)}
	for _, id := range []string{"a", "b", "c"} {
		g.addrs[id] = freeAddr(t)
		g.dirs[id] = t.TempDir()
	}
	for id := range g.addrs {
		g.start(t, id, g.addrs[id], g.peers())
	}
	return g
}

// peers returns the value of -peers that names all hosts of the group.
func (g *controlGroup) peers() string {
	return fmt.Sprintf("a=%s,b=%s,c=%s", g.addrs["a"], g.addrs["b"], g.addrs["c"])
}

// start starts a host with the link address addr and the given value of -peers. It
// keeps the data folder that the host had before.
func (g *controlGroup) start(t *testing.T, id, addr, peers string) {
	t.Helper()
	g.hosts[id] = start(t, "-id", id, "-roles", "control", "-failure-domain", "patan", "-control", "a,b,c", "-data-dir", g.dirs[id],
		"-link-addr", addr, "-admin-addr", freeAddr(t), "-peers", peers, "-drain-delay", "0s")
}

// stop drains a host and waits until it has ended.
func (g *controlGroup) stop(t *testing.T, id string) {
	t.Helper()
	var drained node.DrainAnswer
	await(t, func() error { return g.hosts[id].admin(t, "POST", "/admin/drain", "", &drained) })
	g.hosts[id].awaitEnd(t)
}

// edit submits to the node an edit of the pool formula that is based on version base.
func (p *process) edit(t *testing.T, base int) error {
	t.Helper()
	var answer node.EditAnswer
	body := fmt.Sprintf(`{"id": "e%d", "base": %d, "put_pools": [{"name": "formula", "max_queue": %d}]}`, base, base, base)
	return p.admin(t, "POST", "/admin/edits", body, &answer)
}

// version returns the version of the tables in force at the node.
func (p *process) version(t *testing.T) contract.Version {
	t.Helper()
	var s node.StatusAnswer
	await(t, func() error { return p.admin(t, "GET", "/admin/status", "", &s) })
	return s.Version
}

// An entry starts with no tables while one control host is isolated and has not
// seen the last edits. The entry must read the tables from the quorum of the other
// two, become ready at the latest version, and forward edits.
func TestEntryStartsManyEditsBehindBesideAnIsolatedControlHost(t *testing.T) {
	g := startControlGroup(t)
	await(t, func() error { return g.hosts["b"].edit(t, 0) })
	g.stop(t, "a")
	unreachable := freeAddr(t) // nothing listens here
	isolatedAddr := freeAddr(t)
	g.start(t, "a", isolatedAddr, "b="+unreachable+",c="+unreachable)
	const edits = 500
	for base := 1; base < edits; base++ {
		must.NoError(t, g.hosts["b"].edit(t, base))
	}
	must.Zero(t, g.hosts["a"].version(t)) // a reaches no quorum
	g.addrs["a"] = isolatedAddr
	e := start(t, "-id", "entry", "-roles", "entry", "-failure-domain", "patan", "-control", "a,b,c", "-peers", g.peers(),
		"-link-addr", freeAddr(t), "-http-addr", freeAddr(t), "-admin-addr", freeAddr(t), "-drain-delay", "0s")
	await(t, func() error {
		res, err := http.Get("http://" + e.cfg.HTTPAddr + "/readyz")
		if err != nil {
			return err
		}
		defer res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return errors.New(res.Status)
		}
		return nil
	})
	must.Eq(t, contract.Version(edits), e.version(t))
	must.NoError(t, e.edit(t, edits))
	await(t, func() error {
		if v := e.version(t); v != edits+1 {
			return fmt.Errorf("version %d", v)
		}
		return nil
	})
}

// A control host restarts with an empty disk. The group must report that its repair
// is incomplete until the host is replaced, and then survive the loss of another
// host.
func TestControlHostThatLostItsDiskIsReplaced(t *testing.T) {
	g := startControlGroup(t)
	await(t, func() error { return g.hosts["a"].edit(t, 0) })
	g.stop(t, "b")
	g.dirs["b"] = t.TempDir()
	g.start(t, "b", g.addrs["b"], g.peers())
	status := func() (s control.GroupStatus) {
		must.NoError(t, g.hosts["a"].admin(t, "GET", "/admin/members", "", &s))
		return s
	}
	await(t, func() error {
		if s := status(); !s.Members[1].Reachable {
			return errors.New("b does not answer")
		}
		return nil
	})
	s := status()
	must.False(t, s.Members[1].DiskKept)
	must.False(t, s.RepairComplete)
	must.Zero(t, s.LossesSurvived)
	var group contract.Group
	await(t, func() error { // c may not be linked with b again yet
		return g.hosts["c"].admin(t, "POST", "/admin/members", `{"action": "replace", "host": "b"}`, &group)
	})
	s = status()
	must.True(t, s.RepairComplete)
	must.Eq(t, 1, s.LossesSurvived)
	g.stop(t, "c")
	await(t, func() error { return g.hosts["b"].edit(t, int(g.hosts["b"].version(t))) })
}
