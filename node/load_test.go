package node_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/burn"
	"github.com/carawaylanding/carawaylanding/internal/standin"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/load"
	"github.com/carawaylanding/carawaylanding/node"
)

// An entry is under load from jobs, single requests and callers that disconnect.
// Every answer must be complete and belong to its own request, or be a typed
// refusal. The error-budget counts must contain each answer whose caller had not
// disconnected.
func TestEachAnswerUnderLoadIsRight(t *testing.T) {
	upstream := httptest.NewServer(new(standin.Upstream).Handler())
	t.Cleanup(upstream.Close)
	hub := startHub(t)
	startWorker(t, hub, upstream.URL)
	edit := `{"id": "e1", "base": 0, "put_pools": [{"name": "formula"}], "put_routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula", "objective_ms": 60000}]}`
	await(t, func() error { return hub.admin(t, "POST", "/admin/edits", edit, &node.EditAnswer{}) })
	awaitLinked(t, hub, 2, 1)
	await(t, func() error { return testbed.Ready(hub.cfg.HTTPAddr) })

	mix := load.Mix{
		Seed: 3, Arrivals: load.Poisson, Rate: 40, Duration: time.Minute, MaxArrivals: 60,
		Work: load.WorkDistribution{{Share: 1, Median: 60 * time.Millisecond, Sigma: 0.2}}, MinTasks: 1, MaxTasks: 6,
		SingleShare: 0.4, CancelShare: 0.1, Deadline: 30 * time.Second, Route: "cards", Path: "/cards/x", Teams: []string{"a", "b"},
	}
	rep, err := load.Run(context.Background(), load.Config{Mix: mix, Targets: []string{hub.cfg.HTTPAddr}})
	must.NoError(t, err)
	must.Eq(t, 60, rep.Sent)
	must.Eq(t, 0, rep.Faults, must.Sprint(rep.Examples))
	must.Greater(t, 40, rep.CompleteAnswers())
	must.Eq(t, 0, rep.Counters.UnreadTargets)
	must.GreaterEq(t, int64(2*rep.CompletedTasks), rep.Counters.Messages())

	var counts burn.Counts
	must.NoError(t, hub.admin(t, "GET", "/admin/burn", "", &counts))
	must.Len(t, 1, counts.Routes)
	for _, ind := range counts.Routes[0].Indicators {
		must.Eq(t, 0, ind.Windows[0].Bad, must.Sprintf("%s: a caller that disconnects must not count as a bad answer", ind.Indicator))
	}
	// An answer may count as complete although its caller has just disconnected.
	counted := counts.Routes[0].Indicators[0].Windows[0].Total
	must.Between(t, uint64(rep.CompleteAnswers()), counted, uint64(rep.CompleteAnswers())+uint64(rep.Disconnected))
}
