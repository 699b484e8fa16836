package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/failuredomain"
	"github.com/carawaylanding/carawaylanding/host"
)

// heapGrowth returns the size, in bytes, by which the value that make returns increases
// the live heap.
func heapGrowth(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// queueSizes are the measured numbers of queued tasks.
var queueSizes = []int{1000, 10_000, 100_000}

// workerCounts are the measured numbers of workers of a scheduler.
var workerCounts = []int{11, 110, 1100, 7000}

// queueSlopes measures the memory of queued tasks, and the time of a scheduling
// decision by the number of workers.
func queueSlopes() ([]slope, error) {
	var mem, cost []point
	for _, n := range queueSizes {
		mem = append(mem, point{float64(n), heapGrowth(func() any { return loadedScheduler(1, n) })})
	}
	for _, n := range workerCounts {
		ns, err := decisionTime(n)
		if err != nil {
			return nil, err
		}
		cost = append(cost, point{float64(n), ns})
	}
	return collectSlopes(
		slopeOf("scheduler memory", "queued task", "bytes", mem),
		slopeOf("scheduler decision", "worker known", "ns", cost),
	)
}

// loadedScheduler returns a scheduler with the given numbers of workers and tasks.
// Each worker has one credit, so all tasks but one per worker are queued.
func loadedScheduler(workers, tasks int) dispatch.Scheduler {
	p := dispatch.NewPool(dispatch.Config{MaxQueue: 2 * (tasks + workers)})
	now := time.Unix(0, 0)
	for i := range workers {
		w := benchWorker(i)
		p.Step(now, dispatch.WorkerUp{Worker: w})
		p.Step(now, dispatch.CreditGranted{Worker: w.Ref, Epoch: 1, Slots: w.Capacity.Slots})
	}
	for id := 0; tasks > 0; id++ {
		n := min(tasks, contract.MaxTasks)
		tasks -= n
		p.Step(now, newSubmit(id, n, now))
	}
	return p
}

func benchWorker(i int) host.Worker {
	return host.Worker{
		Identity: host.Identity{
			Ref:      host.Ref{Host: contract.HostID(fmt.Sprintf("w%05d", i)), Incarnation: 1},
			Location: failuredomain.Location{Domain: failuredomain.Name(fmt.Sprint(i % failureDomainCount))},
		},
		Pools:    []string{benchPool},
		Capacity: contract.Capacity{Slots: 1},
	}
}

func newSubmit(id, n int, now time.Time) dispatch.Submit {
	return dispatch.Submit{
		Job: contract.JobID(fmt.Sprintf("j%08d", id)), Team: "bench", Route: benchRoute,
		Deadline: now.Add(time.Hour), Demands: make([]contract.Demand, n),
	}
}

// decisionRounds is the number of tasks that are placed and finished in one
// measurement.
const decisionRounds = 5000

// decisionTime returns the time, in nanoseconds, to submit, place and finish one task
// with the given number of workers.
func decisionTime(workers int) (float64, error) {
	p := loadedScheduler(workers, 0)
	now := time.Unix(0, 0)
	placed := 0
	began := time.Now()
	for i := range decisionRounds {
		for _, a := range p.Step(now, newSubmit(i, 1, now)) {
			if place, ok := a.(dispatch.Place); ok {
				placed++
				p.Step(now, dispatch.Finished{Task: place.Task, Worker: place.Worker, Elapsed: time.Second})
			}
		}
	}
	took := time.Since(began)
	if placed != decisionRounds {
		return 0, fmt.Errorf("%d of %d tasks were placed on %d workers", placed, decisionRounds, workers)
	}
	return float64(took.Nanoseconds()) / decisionRounds, nil
}

// tableSizes are the measured numbers of routes in the tables.
var tableSizes = []int{100, 300, 1000}

// tableSlopes measures the size of the encoded tables, which are the agreed value,
// and the time to encode and decode them, by the number of routes.
func tableSlopes() ([]slope, error) {
	var size, cost []point
	for _, n := range tableSizes {
		t := contract.Tables{Version: contract.Version(n), Pools: []contract.Pool{{Name: benchPool}}}
		for i := range n {
			t.Routes = append(t.Routes, newRoute(i))
		}
		began := time.Now()
		raw, err := msgpack.Marshal(&t)
		if err != nil {
			return nil, err
		}
		var decoded contract.Tables
		if err := msgpack.Unmarshal(raw, &decoded); err != nil {
			return nil, err
		}
		cost = append(cost, point{float64(n), float64(time.Since(began).Nanoseconds())})
		size = append(size, point{float64(n), float64(len(raw))})
	}
	return collectSlopes(
		slopeOf("tables value", "route", "bytes", size),
		slopeOf("tables value codec", "route", "ns", cost),
	)
}
