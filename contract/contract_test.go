package contract

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestCombine(t *testing.T) {
	cases := []struct {
		name  string
		tasks []Outcome
		want  Outcome
	}{
		{"none", nil, OutcomeNotRun},
		{"all ran", []Outcome{OutcomeRan, OutcomeRan}, OutcomeRan},
		{"none ran", []Outcome{OutcomeNotRun, OutcomeNotRun}, OutcomeNotRun},
		{"mixed", []Outcome{OutcomeRan, OutcomeNotRun}, OutcomePartlyRan},
		{"one unknown", []Outcome{OutcomeRan, OutcomeUnknown}, OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, CombineOutcomes(c.tasks))
		})
	}
}

func TestKeyedJobIDSeparatesTeams(t *testing.T) {
	must.Eq(t, KeyedJobID("a", "k"), KeyedJobID("a", "k"))
	must.NotEq(t, KeyedJobID("a", "bk"), KeyedJobID("ab", "k"))
}

func TestTaskIDRoundTrip(t *testing.T) {
	id := TaskID{Job: "j1", Index: 7}
	got, err := ParseTaskID(id.String())
	must.NoError(t, err)
	must.Eq(t, id, got)
	for _, invalid := range []string{"", "j1", "/1", "j1/x", "j1/-1"} {
		_, err := ParseTaskID(invalid)
		must.Error(t, err)
	}
}

func TestApplyRefusesRouteWithoutPool(t *testing.T) {
	var empty Tables
	_, err := empty.Apply(Edit{PutRoutes: []Route{{Name: "r", PathPrefix: "/", Pool: "p"}}})
	must.True(t, ErrInvalidTables.Is(err))

	both, err := empty.Apply(Edit{PutRoutes: []Route{{Name: "r", PathPrefix: "/", Pool: "p"}}, PutPools: []Pool{{Name: "p"}}})
	must.NoError(t, err)
	must.Eq(t, Version(1), both.Version)
	must.Eq(t, Version(1), both.Routes[0].Version)

	_, err = both.Apply(Edit{DeletePools: []string{"p"}})
	must.True(t, ErrInvalidTables.Is(err))
	must.StrContains(t, err.Error(), "put the pool in the same edit")
}

func TestJobSpecValidate(t *testing.T) {
	valid := JobSpec{Route: "r", Team: "t", Tasks: []TaskSpec{{}}}
	must.NoError(t, valid.Validate())
	cases := map[string]func(*JobSpec){
		"no route":          func(s *JobSpec) { s.Route = "" },
		"no team":           func(s *JobSpec) { s.Team = "" },
		"no task":           func(s *JobSpec) { s.Tasks = nil },
		"too many tasks":    func(s *JobSpec) { s.Tasks = make([]TaskSpec, MaxTasks+1) },
		"negative demand":   func(s *JobSpec) { s.Tasks = []TaskSpec{{Demand: Demand{Slots: -1}}} },
		"negative deadline": func(s *JobSpec) { s.DeadlineMS = -1 },
		"far deadline":      func(s *JobSpec) { s.DeadlineMS = int(MaxDeadline/time.Millisecond) + 1 },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			s := valid
			invalidate(&s)
			must.True(t, ErrBadRequest.Is(s.Validate()))
		})
	}
}

func TestNewMessageReturnsEachRegisteredKind(t *testing.T) {
	registered := 0
	for k := range numMessageKinds {
		if m := NewMessage(MessageKind(k)); m != nil {
			must.Eq(t, MessageKind(k), m.MessageKind())
			registered++
		}
	}
	must.Positive(t, registered)
}
