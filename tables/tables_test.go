package tables

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

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
	h := NewHolder()
	must.True(t, h.Offer(vs[2]))
	must.False(t, h.Offer(vs[1]))
	must.Eq(t, contract.Version(2), h.Version())
}

func TestMergeCatchesUpFromAnyVersion(t *testing.T) {
	vs := versions(t)
	newest := NewHolder()
	newest.Offer(vs[3])
	for from := range 3 {
		h := NewHolder()
		h.Offer(vs[from])
		must.True(t, h.Merge(newest.Delta(contract.Version(from))))
		must.Eq(t, vs[3], h.View().Tables)
	}
}

func TestMergeRefusesADeltaWithAGap(t *testing.T) {
	vs := versions(t)
	newest := NewHolder()
	newest.Offer(vs[3])
	h := NewHolder()
	must.False(t, h.Merge(newest.Delta(2)))
	must.Eq(t, contract.Version(0), h.Version())
}
