package control

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

func pools(names ...string) []contract.Pool {
	var out []contract.Pool
	for _, n := range names {
		out = append(out, contract.Pool{Name: n})
	}
	return out
}

func put(id contract.EditID, base contract.Version, pool string) contract.Edit {
	return contract.Edit{ID: id, Base: base, PutPools: pools(pool)}
}

// inBubble runs a test in fake time with three control hosts.
func inBubble(t *testing.T, f func(*testing.T, *network)) {
	synctest.Test(t, func(t *testing.T) { f(t, newNetwork(t, "a", "b", "c")) })
}

func isAccept(m contract.Message) bool {
	_, ok := m.(*contract.Accept)
	return ok
}

// edits makes n edits through the host.
func edits(t *testing.T, h *testHost, n int) {
	t.Helper()
	for range n {
		now, err := h.Read(t.Context())
		must.NoError(t, err)
		base := now.Version
		_, err = h.Edit(t.Context(), put(contract.EditID(fmt.Sprint("n", base)), base, fmt.Sprint("p", base)))
		must.NoError(t, err)
	}
}

func TestOneOfTwoEqualVersionsWins(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		ctx := t.Context()
		_, err := n.host("a").Edit(ctx, put("e1", 0, "p"))
		must.NoError(t, err)
		_, err = n.host("b").Edit(ctx, put("e2", 0, "q"))
		must.True(t, contract.ErrConflict.Is(err))
		got, err := n.host("c").Read(ctx)
		must.NoError(t, err)
		must.Eq(t, "p", got.Pools[0].Name)
	})
}

func TestTwoOperatorsLoseTheirAnswersAndResend(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		ctx := t.Context()
		asked := []contract.Edit{put("e1", 0, "p"), put("e2", 0, "q")}
		through := []contract.HostID{"a", "b"}
		done := make(chan struct{})
		for i, e := range asked {
			go func() {
				n.host(through[i]).Edit(ctx, e) // the answer is lost
				done <- struct{}{}
			}()
		}
		<-done
		<-done
		won := 0
		for range 2 {
			for i, e := range asked {
				v, err := n.host(through[1-i]).Edit(ctx, e)
				if err == nil {
					must.Eq(t, contract.Version(1), v)
					won++
					continue
				}
				must.True(t, contract.ErrConflict.Is(err))
			}
		}
		must.Eq(t, 2, won) // the same edit, twice
	})
}

func TestRefusalIsBackedByAChosenValue(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 1)
		// e1 reaches a alone.
		n.set(func(_, _ contract.HostID, m contract.Message) verdict {
			if isAccept(m) {
				return dropRequest
			}
			return deliver
		})
		_, err := n.host("a").Edit(t.Context(), put("e1", 1, "p"))
		must.True(t, contract.ErrEditUnknown.Is(err))
		n.isolate("c")
		_, err = n.host("a").Edit(t.Context(), put("e2", 1, "q"))
		must.True(t, contract.ErrConflict.Is(err))
		n.isolate("a")
		got, err := n.host("c").Read(t.Context())
		must.NoError(t, err)
		must.Eq(t, contract.Version(2), got.Version)
	})
}

func TestAnswerLostAfterAMajoritySynced(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 1)
		var synced atomic.Bool
		n.set(func(from, _ contract.HostID, m contract.Message) verdict {
			if isAccept(m) {
				synced.Store(true)
				return dropReply
			}
			if synced.Load() {
				return dropRequest
			}
			return deliver
		})
		_, err := n.host("a").Edit(t.Context(), put("e1", 1, "p"))
		must.True(t, contract.ErrEditUnknown.Is(err))
		n.stop("a")
		n.heal()
		v, err := n.host("b").Edit(t.Context(), put("e1", 1, "p"))
		must.NoError(t, err)
		must.Eq(t, contract.Version(2), v)
		must.Eq(t, contract.Version(2), n.host("b").tables.Version())
	})
}

func TestAcceptedValueComesIntoForceWithoutItsProposer(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 2)
		n.stop("a")
		n.host("b").keepUp(t.Context())
		must.Eq(t, contract.Version(2), n.host("b").tables.Version())
	})
}

func TestIsolatedHostComesBack(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 3)
		n.isolate("a")
		edits(t, n.host("b"), 1)
		_, err := n.host("a").Edit(t.Context(), put("lost", 3, "x"))
		must.True(t, contract.ErrNoQuorum.Is(err))
		edits(t, n.host("b"), 20)
		time.Sleep(24 * time.Hour)
		n.heal()
		_, err = n.host("a").Edit(t.Context(), put("late", 3, "y"))
		must.True(t, contract.ErrConflict.Is(err))
		must.Eq(t, contract.Version(24), n.host("a").tables.Version())
	})
}

func TestAllControlHostsRestart(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 5)
		for _, id := range []contract.HostID{"a", "b", "c"} {
			n.start(id, n.host(id).disk, "a", "b", "c")
		}
		got, err := n.host("c").Read(t.Context())
		must.NoError(t, err)
		must.Eq(t, contract.Version(5), got.Version)
		v, err := n.host("b").Edit(t.Context(), put("n4", 4, "p4"))
		must.NoError(t, err)
		must.Eq(t, contract.Version(5), v)
	})
}

func TestForgottenEditIsNotCalledAConflict(t *testing.T) {
	r := Register{Tables: contract.Tables{Version: 900}, Edits: []contract.EditRecord{{Version: 400, ID: "e400"}, {Version: 900, ID: "e900"}}}
	for base, want := range map[contract.Version]contract.Kind{398: contract.ErrEditUnknown, 399: contract.ErrConflict, 899: contract.ErrConflict} {
		_, _, err := r.apply(contract.Edit{ID: "x", Base: base}, time.Time{})
		must.True(t, want.Is(err), must.Sprintf("base %d", base))
	}
}

func TestRemovedRowsReachAHostThatMissedThem(t *testing.T) {
	inBubble(t, func(t *testing.T, n *network) {
		edits(t, n.host("a"), 2)
		_, err := n.host("a").Edit(t.Context(), contract.Edit{ID: "d", Base: 2, DeletePools: []string{"p0"}})
		must.NoError(t, err)
		must.True(t, n.host("b").tables.Merge(n.host("a").tables.Delta(0)))
		must.SliceLen(t, 1, n.host("b").tables.View().Pools)
	})
}
