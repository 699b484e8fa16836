package workeragent

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/uplink"
)

// TestChangedPoolAndLabelsAreReported guards against a leader that starts tasks by the pool
// or the labels that a worker had: it learned of a change with the next report for another
// cause only.
func TestChangedPoolAndLabelsAreReported(t *testing.T) {
	a := New(Config{Uplink: uplink.Config{Hello: contract.Hello{Host: "w"}, Log: logr.Discard()}})
	l, received := newLeaderLink(t)
	a.ctx, a.link, a.session = context.Background(), l, 7
	worker := contract.WorkerAnnouncement{ID: "w", Pool: "p", Labels: []string{"a", "r1"}}
	a.instance = &workerInstance{agent: a, id: "w", worker: worker, inSession: true}
	for _, change := range []func(){
		func() { worker.Pool = "p2" },
		func() { worker.Labels = []string{"b", "r1"} },
		func() { worker.Labels = nil },
	} {
		worker.Seq++
		a.HandleAnnouncement(worker)
		change()
		worker.Seq++
		a.HandleAnnouncement(worker)
		got := nextReport(t, received).Worker
		must.Eq(t, worker.Pool, got.Pool)
		must.Eq(t, worker.Labels, got.Labels)
	}
}

// nextReport returns the next report, and fails the test if none arrives. Other messages
// are heartbeats of the link.
func nextReport(t *testing.T, received <-chan contract.Message) *contract.WorkerReport {
	timeout := time.After(5 * time.Second)
	for {
		select {
		case m := <-received:
			if r, ok := m.(*contract.WorkerReport); ok {
				return r
			}
		case <-timeout:
			must.Unreachable(t, must.Sprint("no report has arrived"))
		}
	}
}

// TestKnownWorkerThatCanNotBe guards against a worker, kept from an announcement that no
// instance can have made, that hides all that the real one announces.
func TestKnownWorkerThatCanNotBe(t *testing.T) {
	a := New(Config{Uplink: uplink.Config{Hello: contract.Hello{Host: "w"}, Log: logr.Discard()}})
	a.ctx = context.Background()
	a.Received(nil, &contract.KnownWorker{Worker: contract.WorkerAnnouncement{ID: "w", Pool: "p", StartedMillis: math.MaxInt64}})
	must.Nil(t, a.instance)
}
