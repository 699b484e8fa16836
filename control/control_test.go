package control

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/metrics"
)

func pools(names ...string) []contract.Pool {
	var out []contract.Pool
	for _, n := range names {
		out = append(out, contract.Pool{Name: n})
	}
	return out
}

// putPool returns an edit that adds a pool.
func putPool(id contract.EditID, base contract.Version, pool string) contract.Edit {
	return contract.Edit{ID: id, Base: base, PutPools: pools(pool)}
}

// withThreeHosts runs a test with the control hosts a, b and c, in fake time
// (package synctest).
func withThreeHosts(t *testing.T, f func(*testing.T, *network)) {
	synctest.Test(t, func(t *testing.T) { f(t, newNetwork(t, "a", "b", "c")) })
}

func isAccept(m contract.Message) bool {
	_, ok := m.(*contract.Accept)
	return ok
}

// makeEdits makes n edits through the host. An edit made from version v has the ID
// "n<v>" and adds the pool "p<v>".
func makeEdits(t *testing.T, h *testHost, n int) {
	t.Helper()
	for range n {
		current, err := h.Read(t.Context())
		must.NoError(t, err)
		base := current.Version
		_, err = h.Edit(t.Context(), putPool(contract.EditID(fmt.Sprint("n", base)), base, fmt.Sprint("p", base)))
		must.NoError(t, err)
	}
}

// Only accepted edits are counted.
func TestEditsAcceptedAreCounted(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		before := metrics.EditsAccepted.Value()
		makeEdits(t, n.host("a"), 2)
		_, err := n.host("b").Edit(t.Context(), putPool("late", 0, "q"))
		must.True(t, contract.ErrConflict.Is(err))
		must.Eq(t, 2, metrics.EditsAccepted.Value()-before)
	})
}

// Of two edits that were made from the same version, the second is refused.
func TestOneOfTwoEqualVersionsWins(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		ctx := t.Context()
		_, err := n.host("a").Edit(ctx, putPool("e1", 0, "p"))
		must.NoError(t, err)
		_, err = n.host("b").Edit(ctx, putPool("e2", 0, "q"))
		must.True(t, contract.ErrConflict.Is(err))
		got, err := n.host("c").Read(ctx)
		must.NoError(t, err)
		must.Eq(t, "p", got.Pools[0].Name)
	})
}

// Two operators make competing edits, lose the answers and send the edits again
// through other hosts. One edit takes effect, and each repetition of it gets the
// same version.
func TestTwoOperatorsLoseTheirAnswersAndResend(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		ctx := t.Context()
		requests := []contract.Edit{putPool("e1", 0, "p"), putPool("e2", 0, "q")}
		hosts := []contract.HostID{"a", "b"}
		done := make(chan struct{})
		for i, e := range requests {
			go func() {
				n.host(hosts[i]).Edit(ctx, e) // the answer is lost
				done <- struct{}{}
			}()
		}
		<-done
		<-done
		accepted := 0
		for range 2 {
			for i, e := range requests {
				v, err := n.host(hosts[1-i]).Edit(ctx, e)
				if err == nil {
					must.Eq(t, contract.Version(1), v)
					accepted++
					continue
				}
				must.True(t, contract.ErrConflict.Is(err))
			}
		}
		must.Eq(t, 2, accepted) // one edit, accepted in both passes
	})
}

// A refusal must not rest on a value that only a minority has accepted. Edit e1
// is accepted by host a alone, so e2 may be refused in its favor only once a
// quorum has e1: afterwards the quorum of b and c returns e1.
func TestRefusalIsBackedByAChosenValue(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 1)
		// Only host a accepts e1.
		n.setRule(func(_, _ contract.HostID, m contract.Message) delivery {
			if isAccept(m) {
				return dropRequest
			}
			return deliver
		})
		_, err := n.host("a").Edit(t.Context(), putPool("e1", 1, "p"))
		must.True(t, contract.ErrEditUnknown.Is(err))
		n.isolate("c")
		_, err = n.host("a").Edit(t.Context(), putPool("e2", 1, "q"))
		must.True(t, contract.ErrConflict.Is(err))
		n.isolate("a")
		got, err := n.host("c").Read(t.Context())
		must.NoError(t, err)
		must.Eq(t, contract.Version(2), got.Version)
	})
}

// A majority syncs an edit, but the proposer gets no reply and stops. The edit
// sent again through another host gets the version that it produced.
func TestAnswerLostAfterAMajoritySynced(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 1)
		var synced atomic.Bool
		n.setRule(func(from, _ contract.HostID, m contract.Message) delivery {
			if isAccept(m) {
				synced.Store(true)
				return dropReply
			}
			if synced.Load() {
				return dropRequest
			}
			return deliver
		})
		_, err := n.host("a").Edit(t.Context(), putPool("e1", 1, "p"))
		must.True(t, contract.ErrEditUnknown.Is(err))
		n.stop("a")
		n.heal()
		v, err := n.host("b").Edit(t.Context(), putPool("e1", 1, "p"))
		must.NoError(t, err)
		must.Eq(t, contract.Version(2), v)
		must.Eq(t, contract.Version(2), n.host("b").tables.Version())
	})
}

// A host learns a value that it has accepted although the proposer stopped before
// it could report the value as chosen.
func TestAcceptedValueComesIntoForceWithoutItsProposer(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 2)
		n.stop("a")
		n.host("b").catchUp(t.Context())
		must.Eq(t, contract.Version(2), n.host("b").tables.Version())
	})
}

// An isolated host refuses edits. When it is reachable again it refuses an edit
// made from its outdated version and adopts the current tables.
func TestIsolatedHostComesBack(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 3)
		n.isolate("a")
		makeEdits(t, n.host("b"), 1)
		_, err := n.host("a").Edit(t.Context(), putPool("lost", 3, "x"))
		must.True(t, contract.ErrNoQuorum.Is(err))
		makeEdits(t, n.host("b"), 20)
		time.Sleep(24 * time.Hour)
		n.heal()
		_, err = n.host("a").Edit(t.Context(), putPool("late", 3, "y"))
		must.True(t, contract.ErrConflict.Is(err))
		must.Eq(t, contract.Version(24), n.host("a").tables.Version())
	})
}

// After a restart of all hosts the tables, and the results of earlier edits, are
// still known.
func TestAllControlHostsRestart(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 5)
		for _, id := range []contract.HostID{"a", "b", "c"} {
			n.start(id, n.host(id).disk, "a", "b", "c")
		}
		got, err := n.host("c").Read(t.Context())
		must.NoError(t, err)
		must.Eq(t, contract.Version(5), got.Version)
		v, err := n.host("b").Edit(t.Context(), putPool("n4", 4, "p4"))
		must.NoError(t, err)
		must.Eq(t, contract.Version(5), v)
	})
}

// An edit whose record may have been removed must not be refused as a conflict,
// because it may have been accepted.
func TestEditOlderThanTheHistoryIsReportedAsUnknown(t *testing.T) {
	r := Register{Tables: contract.Tables{Version: 900}, Edits: []contract.EditRecord{{Version: 400, ID: "e400"}, {Version: 900, ID: "e900"}}}
	for base, want := range map[contract.Version]contract.ErrorKind{398: contract.ErrEditUnknown, 399: contract.ErrConflict, 899: contract.ErrConflict} {
		_, _, err := r.apply(contract.Edit{ID: "x", Base: base}, time.Time{})
		must.True(t, want.Is(err), must.Sprintf("base %d", base))
	}
}

// A deleted pool is also deleted on a host that missed the edit and merges the
// tables.
func TestRemovedRowsReachAHostThatMissedThem(t *testing.T) {
	withThreeHosts(t, func(t *testing.T, n *network) {
		makeEdits(t, n.host("a"), 2)
		_, err := n.host("a").Edit(t.Context(), contract.Edit{ID: "d", Base: 2, DeletePools: []string{"p0"}})
		must.NoError(t, err)
		must.True(t, n.host("b").tables.Merge(n.host("a").tables.Delta(0)))
		must.SliceLen(t, 1, n.host("b").tables.View().Pools)
	})
}
