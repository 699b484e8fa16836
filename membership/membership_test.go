package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/failuredomain"
	"github.com/carawaylanding/carawaylanding/host"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func worker(id string, inc contract.Incarnation) host.Worker {
	return host.Worker{
		Identity: host.Identity{Ref: host.Ref{Host: contract.HostID(id), Incarnation: inc}, Location: failuredomain.Location{Domain: "patan", Rack: "rack1"}},
		Pools:    []string{"formula"},
		Capacity: contract.Capacity{Slots: 8},
	}
}

func TestRackThatRestartsAtOnceIsNotDamped(t *testing.T) {
	d := New()
	for i := range 40 {
		d.Announced(worker(fmt.Sprint("w", i), 1), startTime)
	}
	for i := range 40 {
		d.Lost(worker(fmt.Sprint("w", i), 1).Ref, startTime.Add(time.Second))
	}
	must.Eq(t, []WorkerCounts{{Pool: "formula", Domain: "patan", Silent: 40}}, d.WorkerCounts(startTime.Add(2*time.Second)))
	for i := range 40 {
		must.Zero(t, d.Announced(worker(fmt.Sprint("w", i), 2), startTime.Add(3*time.Second)))
	}
	must.Eq(t, []WorkerCounts{{Pool: "formula", Domain: "patan", Up: 40, Slots: 320}}, d.WorkerCounts(startTime.Add(4*time.Second)))
	must.Eq(t, EventCounts{Joined: 40, Restarted: 40, Lost: 40}, d.EventCounts())
}

// TestFlappingWorkerIsDampedAndComesBack restarts a worker every two seconds until it
// is damped, which must happen by its sixth announcement. The worker must still be
// damped after half the time that Announced returned, and be up again two minutes
// after it was damped.
func TestFlappingWorkerIsDampedAndComesBack(t *testing.T) {
	d := New()
	now := startTime
	var wait time.Duration
	for inc := contract.Incarnation(1); wait == 0; inc++ {
		must.Less(t, contract.Incarnation(7), inc)
		wait = d.Announced(worker("w", inc), now)
		if wait == 0 {
			d.Lost(worker("w", inc).Ref, now.Add(time.Second))
		}
		now = now.Add(2 * time.Second)
	}
	now = now.Add(-2 * time.Second) // the time of the announcement that was damped
	must.Eq(t, 1, d.WorkerCounts(now)[0].Damped)
	must.Positive(t, d.Announced(worker("w", 9), now.Add(wait/2)))
	must.Eq(t, 1, d.WorkerCounts(now.Add(2 * time.Minute))[0].Up)
	must.Zero(t, d.Announced(worker("w", 9), now.Add(2*time.Minute)))
	must.Eq(t, int64(1), d.EventCounts().Damped)
}

func TestDrainIsNotCountedAsLoss(t *testing.T) {
	d := New()
	now := startTime
	for inc := contract.Incarnation(1); inc < 20; inc++ {
		must.Zero(t, d.Announced(worker("w", inc), now))
		d.Draining(worker("w", inc).Ref, now)
		must.Eq(t, 1, d.WorkerCounts(now)[0].Draining)
		d.Lost(worker("w", inc).Ref, now.Add(time.Second))
		now = now.Add(2 * time.Second)
	}
	must.SliceEmpty(t, d.WorkerCounts(now))
	must.Eq(t, EventCounts{Joined: 19, Drained: 19}, d.EventCounts())
}

func TestLateLossOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	d := New()
	d.Announced(worker("w", 1), startTime)
	d.Announced(worker("w", 2), startTime)
	d.Lost(worker("w", 1).Ref, startTime)
	must.Eq(t, 1, d.WorkerCounts(startTime)[0].Up)
}

func TestSilentWorkerIsRemoved(t *testing.T) {
	d := New()
	d.Announced(worker("w", 1), startTime)
	d.Lost(worker("w", 1).Ref, startTime)
	d.Sweep(startTime.Add(removeSilentAfter - 1))
	must.SliceLen(t, 1, d.WorkerCounts(startTime))
	d.Sweep(startTime.Add(removeSilentAfter))
	must.SliceEmpty(t, d.WorkerCounts(startTime))
}
