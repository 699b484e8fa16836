package control

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// opInput is one request of an operator: an edit, or a read if id is empty.
type opInput struct {
	id   contract.EditID
	base contract.Version
}

// opOutput is the answer to a request. For a read, edits lists the IDs of all
// accepted edits.
type opOutput struct {
	kind    string // ok, conflict, unknown or not-run
	version contract.Version
	edits   string
}

// editsModel is the sequential specification: the state is the IDs of the
// accepted edits in order, and the version is their number.
var editsModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		return stepEdits(state.(string), in.(opInput), out.(opOutput))
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// stepEdits reports whether the answer is possible in the state, and returns the
// next state. An edit whose result is unknown takes effect if it can.
func stepEdits(state string, in opInput, out opOutput) (bool, any) {
	ids := strings.Fields(state)
	if in.id == "" {
		return out.kind != "ok" || out.edits == state, state
	}
	appliedAs := 0 // the version that the edit produced; zero if it was not applied
	for i, id := range ids {
		if id == string(in.id) {
			appliedAs = i + 1
		}
	}
	applies := appliedAs == 0 && int(in.base) == len(ids)
	after := strings.Join(append(ids, string(in.id)), " ")
	switch out.kind {
	case "ok":
		if applies {
			return int(out.version) == len(ids)+1, after
		}
		return appliedAs > 0 && int(out.version) == appliedAs, state
	case "conflict":
		return appliedAs == 0 && !applies, state
	case "unknown":
		if applies {
			return true, after
		}
	}
	return true, state
}

// recorder records the operations of the operators as a history.
type recorder struct {
	clock atomic.Int64 // logical time; each call and each return is one tick
	mu    sync.Mutex   // guards ops
	ops   []porcupine.Operation
}

func (r *recorder) record(client int, in opInput, call int64, out opOutput) {
	end := r.clock.Add(1)
	if out.kind == "unknown" {
		end = math.MaxInt64 // the edit may take effect at any time after the call
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// edit makes an edit through the host and records it.
func (r *recorder) edit(ctx context.Context, client int, h *testHost, in opInput, timeout time.Duration) opOutput {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call := r.clock.Add(1)
	v, err := h.Edit(ctx, putPool(in.id, in.base, "p"))
	out := opOutput{kind: "ok", version: v}
	switch {
	case contract.ErrConflict.Is(err):
		out.kind = "conflict"
	case contract.ErrNoQuorum.Is(err):
		out.kind = "not-run"
	case err != nil:
		out.kind = "unknown"
	}
	r.record(client, in, call, out)
	return out
}

// read reads the edits through the host, records the read if it succeeds, and
// returns the version: of the read, or else of the tables in force on the host.
func (r *recorder) read(ctx context.Context, client int, h *testHost) contract.Version {
	call := r.clock.Add(1)
	v, err := h.read(ctx)
	if err != nil {
		return h.tables.Version()
	}
	var ids []string
	for _, e := range v.register.Edits {
		ids = append(ids, string(e.ID))
	}
	r.record(client, opInput{}, call, opOutput{kind: "ok", edits: strings.Join(ids, " ")})
	return v.register.Tables.Version
}

// Sizes of a random history: each operator makes historyEdits edits and sends each
// of them at most historyMaxSends times.
const (
	historyOperators = 4
	historyEdits     = 6
	historyMaxSends  = 3
	historyFaults    = 40
)

// runOperator makes edits through random hosts. It sends an edit again if the
// answer is neither ok nor conflict, or if the answer counts as lost.
func runOperator(ctx context.Context, n *network, rec *recorder, client int, rng *rand.Rand) {
	ids := []contract.HostID{"a", "b", "c"}
	pick := func() *testHost { return n.host(ids[rng.IntN(len(ids))]) }
	for i := range historyEdits {
		in := opInput{id: contract.EditID(fmt.Sprintf("%d.%d", client, i)), base: rec.read(ctx, client, pick())}
		for range historyMaxSends {
			lost := rng.IntN(4) == 0
			out := rec.edit(ctx, client, pick(), in, time.Duration(1+rng.IntN(1000))*time.Millisecond)
			if !lost && (out.kind == "ok" || out.kind == "conflict") {
				break
			}
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

// injectFaults causes random faults and ends with all hosts and disks working.
func injectFaults(n *network, rng *rand.Rand) {
	ids := []contract.HostID{"a", "b", "c"}
	for range historyFaults {
		id := ids[rng.IntN(len(ids))]
		switch rng.IntN(5) {
		case 0:
			n.isolate(id)
		case 1:
			n.heal()
		case 2:
			n.dropRandomly(rng.Uint64())
		case 3:
			n.start(id, n.host(id).disk, ids...)
		case 4:
			n.host(id).disk.set(func(d *fakeDisk) { d.failSave = !d.failSave })
		}
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
	}
	for _, id := range ids {
		n.host(id).disk.set(func(d *fakeDisk) { d.failSave = false })
	}
	n.heal()
}

// dropRandomly makes the network drop requests and replies at random: a ninth of the
// calls lose their request, and another ninth their reply.
func (n *network) dropRandomly(seed uint64) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0))
	n.setRule(func(_, _ contract.HostID, _ contract.Message) delivery {
		mu.Lock()
		defer mu.Unlock()
		return delivery(max(0, rng.IntN(9)-6))
	})
}

// runHistory returns the history that operators make under the random faults of a
// seed. If loseWrites is set, all disks lose what is written after the first
// group has formed.
func runHistory(t *testing.T, seed uint64, loseWrites bool) []porcupine.Operation {
	rec := &recorder{}
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, "a", "b", "c")
		_, err := n.host("a").Read(t.Context())
		must.NoError(t, err)
		for _, h := range n.hosts {
			h.disk.set(func(d *fakeDisk) { d.loseWrites = loseWrites })
		}
		var wg sync.WaitGroup
		for client := range historyOperators {
			rng := rand.New(rand.NewPCG(seed, uint64(client)))
			wg.Go(func() { runOperator(t.Context(), n, rec, client, rng) })
		}
		injectFaults(n, rand.New(rand.NewPCG(seed, historyOperators)))
		wg.Wait()
		rec.read(t.Context(), historyOperators, n.host("a"))
	})
	return rec.ops
}

// checkTimeout is the timeout for checking one history.
const checkTimeout = time.Minute

func TestHistoryOfEditsUnderFaultsIsLinearizable(t *testing.T) {
	for seed := range uint64(40) {
		ops := runHistory(t, seed, false)
		got := porcupine.CheckOperationsTimeout(editsModel, ops, checkTimeout)
		must.Eq(t, porcupine.Ok, got, must.Sprintf("seed %d", seed))
	}
}

// This test guards the check itself: if acceptors lose what they have synced, the
// check must find a history that is not linearizable.
func TestHistoryCheckDetectsAnAcceptorThatLosesWrites(t *testing.T) {
	for seed := range uint64(40) {
		if porcupine.CheckOperationsTimeout(editsModel, runHistory(t, seed, true), checkTimeout) == porcupine.Illegal {
			return
		}
	}
	t.Fatal("all histories of acceptors that lose writes passed the check")
}
