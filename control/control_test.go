package control

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
)

// directPeer calls another control host without a link.
type directPeer struct{ to *Control }

func (p directPeer) Call(ctx context.Context, m contract.Message) (contract.Message, error) {
	if p.to == nil {
		return nil, link.ErrDown
	}
	return p.to.Receive(ctx, m), nil
}

func group(t *testing.T) []*Control {
	t.Helper()
	ids := []contract.HostID{"a", "b", "c"}
	out := make([]*Control, len(ids))
	peers := make(map[contract.HostID]Peer, len(ids))
	for i, id := range ids {
		store, err := OpenStore(t.TempDir())
		must.NoError(t, err)
		t.Cleanup(func() { store.Close() })
		out[i], err = New(Config{Self: id, Members: ids, Peers: peers, Store: store, Learned: func(contract.Tables) {}, Log: logr.Discard()})
		must.NoError(t, err)
	}
	for i, id := range ids {
		peers[id] = directPeer{out[i]}
	}
	return out
}

func pools(names ...string) []contract.Pool {
	var out []contract.Pool
	for _, n := range names {
		out = append(out, contract.Pool{Name: n})
	}
	return out
}

func TestOneOfTwoEqualVersionsWins(t *testing.T) {
	g := group(t)
	ctx := t.Context()
	_, err := g[0].Edit(ctx, contract.Edit{ID: "e1", PutPools: pools("p")})
	must.NoError(t, err)
	_, err = g[1].Edit(ctx, contract.Edit{ID: "e2", PutPools: pools("q")})
	must.True(t, contract.ErrConflict.Is(err))
	got, err := g[2].Read(ctx)
	must.NoError(t, err)
	must.Eq(t, "p", got.Pools[0].Name)
}

func TestResentEditGetsItsFirstAnswer(t *testing.T) {
	g := group(t)
	ctx := t.Context()
	e := contract.Edit{ID: "e1", PutPools: pools("p")}
	first, err := g[0].Edit(ctx, e)
	must.NoError(t, err)
	again, err := g[1].Edit(ctx, e)
	must.NoError(t, err)
	must.Eq(t, first, again)
}
