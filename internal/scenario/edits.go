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

// edit puts a route through a hub and waits until it is accepted:
// edit HUB ROUTE [pool=POOL] [base=N] [id=ID] [times=N]. With base the edit is
// tried once; without it, it is made from the hub's version and resent with its
// ID while no majority answers. With times it is one edit after another.
func (w *world) edit(args []string) error {
	plain, opts := options(args)
	if err := need(plain, 2, "edit HUB ROUTE [pool=POOL] [base=N] [id=ID]"); err != nil {
		return err
	}
	h, err := w.process(plain[0])
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
		return w.sendEdit(h, e)
	}
	first := e.ID
	for i := range number(opts, "times", 1) {
		e.PutRoutes[0].TimeoutMS = i
		e.ID = contract.EditID(fmt.Sprintf("%s.%d", first, i))
		if err := w.await(func() error { return w.editFromHere(h, e) }); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) editFromHere(h *testbed.Process, e contract.Edit) error {
	s, err := status(h)
	if err != nil {
		return err
	}
	e.Base = s.Version
	return w.sendEdit(h, e)
}

func (w *world) sendEdit(h *testbed.Process, e contract.Edit) error {
	raw, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return w.postEdit(h, raw)
}

// editClient outlasts an edit that waits for a majority.
var editClient = &http.Client{Timeout: 20 * time.Second}

func (w *world) postEdit(h *testbed.Process, raw []byte) error {
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
	w.accepted = max(w.accepted, a.Version)
	return nil
}

// waitInForce waits until the hubs have the last accepted version in force:
// wait-in-force HUB...
func (w *world) waitInForce(args []string) error {
	return w.each(args, func(p *testbed.Process) error {
		return w.await(func() error { return w.inForce(p) })
	})
}

// expectInForce checks, without waiting, that the hubs have the last accepted
// version in force: expect-in-force HUB...
func (w *world) expectInForce(args []string) error { return w.each(args, w.inForce) }

func (w *world) inForce(p *testbed.Process) error {
	s, err := status(p)
	if err == nil && s.Version < w.accepted {
		err = fmt.Errorf("%s has version %d in force, not %d", p.Name, s.Version, w.accepted)
	}
	return err
}

const revertPoll = 20 * time.Millisecond

// watchReverts looks at each hub's version until the script ends, and notes
// each hub that serves an older version than it has served before.
func (w *world) watchReverts() {
	seen := make(map[string]contract.Version)
	for w.ctx.Err() == nil {
		for _, h := range w.sys.Hubs {
			s, err := status(h)
			if err != nil || !s.Ready {
				continue
			}
			if s.Version < seen[h.Name] {
				w.mu.Lock()
				w.reverts = append(w.reverts, fmt.Sprintf("%s went from version %d to %d", h.Name, seen[h.Name], s.Version))
				w.mu.Unlock()
			}
			seen[h.Name] = max(seen[h.Name], s.Version)
		}
		time.Sleep(revertPoll)
	}
}

// expectNoRevert fails where a hub served an older version than before.
func (w *world) expectNoRevert([]string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.reverts) > 0 {
		return fmt.Errorf("%v", w.reverts)
	}
	return nil
}
