package agent

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

func TestStaleStartIsRefused(t *testing.T) {
	var r rowVersions
	r.merge(&contract.RowVersions{TablesVersion: 9, Routes: []contract.RowVersion{{Name: "cards", Version: 7}}, Pools: []contract.RowVersion{{Name: "formula", Version: 8}}})
	// The second message comes from an entry with older tables.
	r.merge(&contract.RowVersions{TablesVersion: 4, Routes: []contract.RowVersion{{Name: "cards", Version: 3}}})
	for _, c := range []struct {
		start contract.Start
		stale bool
	}{
		{contract.Start{Route: "cards", Pool: "formula", TablesVersion: 9}, false},
		{contract.Start{Route: "cards", Pool: "formula", TablesVersion: 8}, false},
		{contract.Start{Route: "cards", Pool: "formula", TablesVersion: 7}, true},
		{contract.Start{Route: "cards", Pool: "other", TablesVersion: 6}, true},
		{contract.Start{Route: "others", Pool: "other", TablesVersion: 1}, false},
	} {
		must.Eq(t, c.stale, r.staleReason(&c.start) != "", must.Sprintf("%+v", c.start))
	}
}

func TestRefusedStartStaysFencedAndLaterAttemptRuns(t *testing.T) {
	g := NewGate(1, contract.Capacity{Slots: 1})
	s := &contract.Start{Task: contract.TaskID{Job: "j"}, To: 1, Attempt: 1, Demand: contract.Demand{Slots: 1}}
	v, _ := g.Refuse(s, "older rows")
	must.Eq(t, VerdictRefuse, v)
	v, _ = g.Offer(s)
	must.Eq(t, VerdictRefuse, v)
	later := *s
	later.Attempt = 2
	v, _ = g.Offer(&later)
	must.Eq(t, VerdictRun, v)
	v, _ = g.Refuse(&later, "older rows")
	must.Eq(t, VerdictDuplicate, v)
}
