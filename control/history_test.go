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

// opInput is one request of an operator; an empty ID reads.
type opInput struct {
	id   contract.EditID
	base contract.Version
}

// opOutput is its answer. Reads return all accepted edits.
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

func stepEdits(state string, in opInput, out opOutput) (bool, any) {
	ids := strings.Fields(state)
	if in.id == "" {
		return out.kind != "ok" || out.edits == state, state
	}
	seen := 0
	for i, id := range ids {
		if id == string(in.id) {
			seen = i + 1
		}
	}
	applies := seen == 0 && int(in.base) == len(ids)
	after := strings.Join(append(ids, string(in.id)), " ")
	switch out.kind {
	case "ok":
		if applies {
			return int(out.version) == len(ids)+1, after
		}
		return seen > 0 && int(out.version) == seen, state
	case "conflict":
		return seen == 0 && !applies, state
	case "unknown":
		if applies {
			return true, after
		}
	}
	return true, state
}

// recorder collects the history of the operators.
type recorder struct {
	clock atomic.Int64
	mu    sync.Mutex // guards ops
	ops   []porcupine.Operation
}

func (r *recorder) record(client int, in opInput, call int64, out opOutput) {
	end := r.clock.Add(1)
	if out.kind == "unknown" {
		end = math.MaxInt64 // it may take effect at any time from the call
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

func (r *recorder) edit(ctx context.Context, client int, h *testHost, in opInput, limit time.Duration) opOutput {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	call := r.clock.Add(1)
	v, err := h.Edit(ctx, put(in.id, in.base, "p"))
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

// Sizes of a random history.
const (
	historyOperators = 4
	historyEdits     = 6
	historySends     = 3
	historyFaults    = 40
)

// operator makes edits through random hosts and sends each again where the
// answer leaves it open.
func operator(ctx context.Context, n *network, rec *recorder, client int, rng *rand.Rand) {
	ids := []contract.HostID{"a", "b", "c"}
	pick := func() *testHost { return n.host(ids[rng.IntN(len(ids))]) }
	for i := range historyEdits {
		in := opInput{id: contract.EditID(fmt.Sprintf("%d.%d", client, i)), base: rec.read(ctx, client, pick())}
		for range historySends {
			lost := rng.IntN(4) == 0
			out := rec.edit(ctx, client, pick(), in, time.Duration(1+rng.IntN(1000))*time.Millisecond)
			if !lost && (out.kind == "ok" || out.kind == "conflict") {
				break
			}
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

// disturb makes random faults.
func disturb(n *network, rng *rand.Rand) {
	ids := []contract.HostID{"a", "b", "c"}
	for range historyFaults {
		id := ids[rng.IntN(len(ids))]
		switch rng.IntN(5) {
		case 0:
			n.isolate(id)
		case 1:
			n.heal()
		case 2:
			n.lossy(rng.Uint64())
		case 3:
			n.start(id, n.host(id).disk, ids...)
		case 4:
			n.host(id).disk.set(func(d *fakeDisk) { d.full = !d.full })
		}
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
	}
	for _, id := range ids {
		n.host(id).disk.set(func(d *fakeDisk) { d.full = false })
	}
	n.heal()
}

// lossy drops a third of the requests and replies.
func (n *network) lossy(seed uint64) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0))
	n.set(func(_, _ contract.HostID, _ contract.Message) verdict {
		mu.Lock()
		defer mu.Unlock()
		return verdict(max(0, rng.IntN(9)-6))
	})
}

// runHistory returns the history of one seed.
func runHistory(t *testing.T, seed uint64, amnesia bool) []porcupine.Operation {
	rec := &recorder{}
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, "a", "b", "c")
		_, err := n.host("a").Read(t.Context())
		must.NoError(t, err)
		for _, h := range n.hosts {
			h.disk.set(func(d *fakeDisk) { d.amnesia = amnesia })
		}
		var wg sync.WaitGroup
		for client := range historyOperators {
			rng := rand.New(rand.NewPCG(seed, uint64(client)))
			wg.Go(func() { operator(t.Context(), n, rec, client, rng) })
		}
		disturb(n, rand.New(rand.NewPCG(seed, historyOperators)))
		wg.Wait()
		rec.read(t.Context(), historyOperators, n.host("a"))
	})
	return rec.ops
}

// checkLimit bounds the check of one history.
const checkLimit = time.Minute

func TestHistoryOfEditsUnderFaultsIsLinearizable(t *testing.T) {
	for seed := range uint64(40) {
		ops := runHistory(t, seed, false)
		got := porcupine.CheckOperationsTimeout(editsModel, ops, checkLimit)
		must.Eq(t, porcupine.Ok, got, must.Sprintf("seed %d", seed))
	}
}

func TestHistoryCheckCatchesAnAcceptorThatForgets(t *testing.T) {
	for seed := range uint64(40) {
		if porcupine.CheckOperationsTimeout(editsModel, runHistory(t, seed, true), checkLimit) == porcupine.Illegal {
			return
		}
	}
	t.Fatal("no history of an acceptor that forgets was found illegal")
}
