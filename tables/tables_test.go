package tables

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// versions returns the tables of versions 0 to 3. Version 3 removes a row.
func versions(t *testing.T) []contract.Tables {
	t.Helper()
	edits := []contract.Edit{
		{PutPools: []contract.Pool{{Name: "p"}}, PutRoutes: []contract.Route{{Name: "a", PathPrefix: "/a", Pool: "p"}}},
		{PutRoutes: []contract.Route{{Name: "b", PathPrefix: "/b", Pool: "p"}}},
		{DeleteRoutes: []string{"a"}},
	}
	out := []contract.Tables{{}}
	for _, e := range edits {
		next, err := out[len(out)-1].Apply(e)
		must.NoError(t, err)
		out = append(out, next)
	}
	return out
}

func TestOfferNeverGoesBack(t *testing.T) {
	vs := versions(t)
	s := NewStore()
	must.True(t, s.Update(vs[2]))
	must.False(t, s.Update(vs[1]))
	must.Eq(t, contract.Version(2), s.Version())
}

func TestMergeCatchesUpFromAnyVersion(t *testing.T) {
	vs := versions(t)
	newest := NewStore()
	newest.Update(vs[3])
	for from := range 3 {
		s := NewStore()
		s.Update(vs[from])
		must.True(t, s.Merge(newest.Delta(contract.Version(from))))
		must.Eq(t, vs[3], s.View().Tables)
	}
}

func TestMergeRefusesADeltaWithAGap(t *testing.T) {
	vs := versions(t)
	newest := NewStore()
	newest.Update(vs[3])
	s := NewStore()
	must.False(t, s.Merge(newest.Delta(2)))
	must.Eq(t, contract.Version(0), s.Version())
}

// randomEdit adds, changes or removes one pool.
func randomEdit(rng *rand.Rand) contract.Edit {
	name := fmt.Sprint("p", rng.IntN(20))
	if rng.IntN(2) == 0 {
		return contract.Edit{DeletePools: []string{name}}
	}
	return contract.Edit{PutPools: []contract.Pool{{Name: name, MaxQueue: rng.IntN(100)}}}
}

func TestDeltasFromAnyVersionGiveTheSameTables(t *testing.T) {
	const edits = 2500 // enough that the oldest removals are discarded
	rng := rand.New(rand.NewPCG(1, 2))
	vs := []contract.Tables{{}}
	for range edits {
		next, err := vs[len(vs)-1].Apply(randomEdit(rng))
		must.NoError(t, err)
		vs = append(vs, next)
	}
	must.Positive(t, vs[edits].RemovalsFrom)
	for range 500 {
		from := rng.IntN(edits)
		current := from + rng.IntN(edits-from)
		s := NewStore()
		s.Update(vs[current])
		d := DeltaSince(vs[edits], contract.Version(from))
		must.True(t, s.Merge(d), must.Sprintf("delta from version %d, merged into version %d", from, current))
		must.Eq(t, vs[edits], s.View().Tables, must.Sprintf("delta from version %d, merged into version %d", from, current))
	}
}

func TestDeltaFromBeforeTheKeptRemovalsContainsAllRows(t *testing.T) {
	const rows = 600 // more than the number of removals kept
	var put contract.Edit
	for i := range rows {
		put.PutPools = append(put.PutPools, contract.Pool{Name: fmt.Sprint("p", i)})
	}
	first, err := (&contract.Tables{}).Apply(put)
	must.NoError(t, err)
	vs := []contract.Tables{{}, first}
	for i := range rows {
		next, err := vs[len(vs)-1].Apply(contract.Edit{DeletePools: []string{fmt.Sprint("p", i)}})
		must.NoError(t, err)
		vs = append(vs, next)
	}
	newest := vs[len(vs)-1]
	oldest := newest.RemovalsFrom
	for from, full := range map[contract.Version]bool{oldest - 1: true, oldest: false} {
		d := DeltaSince(newest, from)
		must.Eq(t, full, d.From == 0)
		s := NewStore()
		s.Update(vs[from])
		must.True(t, s.Merge(d))
		must.SliceEmpty(t, s.View().Pools)
	}
}
