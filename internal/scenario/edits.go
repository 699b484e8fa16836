package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/node"
)

// edit adds or replaces a route through a hub and waits until the edit is accepted:
// edit HUB ROUTE [pool=POOL] [base=N] [id=ID] [times=N]. With base, the edit is sent
// once. Without it, the edit is based on the hub's version, and resent with the same
// ID until it is accepted. With times, this is repeated for N edits with distinct IDs.
func (env *environment) edit(args []string) error {
	plain, opts := options(args)
	if err := checkArgCount(plain, 2, "edit HUB ROUTE [pool=POOL] [base=N] [id=ID] [times=N]"); err != nil {
		return err
	}
	h, err := env.process(plain[0])
	if err != nil {
		return err
	}
	pool := opts["pool"]
	if pool == "" {
		pool = "formula"
	}
	e := contract.Edit{
		ID:        contract.EditID(opts["id"]),
		PutRoutes: []contract.Route{{Name: plain[1], PathPrefix: "/" + plain[1], Pool: pool}},
	}
	if e.ID == "" {
		e.ID = contract.EditID(contract.NewJobID())
	}
	if base, ok := opts["base"]; ok {
		n, err := strconv.ParseUint(base, 10, 64)
		if err != nil {
			return err
		}
		e.Base = contract.Version(n)
		return env.sendEdit(h, e)
	}
	idPrefix := e.ID
	for i := range intOption(opts, "times", 1) {
		e.PutRoutes[0].TimeoutMS = i
		e.ID = contract.EditID(fmt.Sprintf("%s.%d", idPrefix, i))
		if err := env.await(func() error { return env.editFromCurrentVersion(h, e) }); err != nil {
			return err
		}
	}
	return nil
}

func (env *environment) editFromCurrentVersion(h *testbed.Process, e contract.Edit) error {
	s, err := status(h)
	if err != nil {
		return err
	}
	e.Base = s.Version
	return env.sendEdit(h, e)
}

func (env *environment) sendEdit(h *testbed.Process, e contract.Edit) error {
	raw, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return env.postEdit(h, raw)
}

// editClient has a timeout longer than an edit waits for a majority.
var editClient = &http.Client{Timeout: 20 * time.Second}

// postEdit sends an encoded edit and updates acceptedVersion.
func (env *environment) postEdit(h *testbed.Process, raw []byte) error {
	res, err := editClient.Post("http://"+h.Admin+"/admin/edits", "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", res.Status, body)
	}
	var a node.EditAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return err
	}
	env.acceptedVersion = max(env.acceptedVersion, a.Version)
	return nil
}

// waitInForce waits until the last accepted version is in force at the hubs:
// wait-in-force HUB...
func (env *environment) waitInForce(args []string) error {
	return env.forEachProcess(args, func(p *testbed.Process) error {
		return env.await(func() error { return env.checkInForce(p) })
	})
}

// expectInForce checks, without waiting, that the last accepted version is in force
// at the hubs: expect-in-force HUB...
func (env *environment) expectInForce(args []string) error {
	return env.forEachProcess(args, env.checkInForce)
}

func (env *environment) checkInForce(p *testbed.Process) error {
	s, err := status(p)
	if err == nil && s.Version < env.acceptedVersion {
		err = fmt.Errorf("%s has version %d in force, want %d", p.Name, s.Version, env.acceptedVersion)
	}
	return err
}

const revertPollInterval = 20 * time.Millisecond

// watchReverts polls the version of each hub until the script ends, and records
// each change of a hub to an older version than it has served before.
func (env *environment) watchReverts() {
	highest := make(map[string]contract.Version)
	for env.ctx.Err() == nil {
		for _, h := range env.sys.Hubs {
			s, err := status(h)
			if err != nil || !s.Ready {
				continue
			}
			if s.Version < highest[h.Name] {
				env.mu.Lock()
				env.reverts = append(env.reverts, fmt.Sprintf("%s went from version %d back to %d", h.Name, highest[h.Name], s.Version))
				env.mu.Unlock()
			}
			highest[h.Name] = max(highest[h.Name], s.Version)
		}
		time.Sleep(revertPollInterval)
	}
}

// expectNoRevert returns an error if a hub has served an older version than before:
// expect-no-revert.
func (env *environment) expectNoRevert([]string) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	if len(env.reverts) > 0 {
		return fmt.Errorf("%v", env.reverts)
	}
	return nil
}
