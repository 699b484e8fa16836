package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

const (
	benchSlots  = 8   // slots of a worker
	benchTasks  = 100 // tasks of a queued job
	benchMillis = 300 // declared run time of a task
)

// BenchmarkDecision measures the submission of a job with one task and the end
// of a running task, which starts a queued one, in a saturated pool with the
// given numbers of workers and queued tasks.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{11, 110, 1_100, 7_000} {
		for _, queued := range []int{1, 1_000, 100_000} {
			b.Run(fmt.Sprintf("workers=%d/queued=%d", workers, queued), func(b *testing.B) {
				benchDecision(b, workers, queued)
			})
		}
	}
}

func benchDecision(b *testing.B, workers, queued int) {
	caps := make([]contract.Capacity, workers)
	for i := range caps {
		caps[i] = contract.Capacity{Slots: benchSlots}
	}
	p := poolWith(Config{MaxQueue: 10 * (queued + workers*benchSlots)}, caps...)
	now := testStart
	running := make([]Place, 0, workers*benchSlots)
	submit := func(n, tasks int) {
		id := contract.JobID(fmt.Sprint("j", n))
		demands := declared(tasks, benchMillis)
		running = append(running, placesOf(p.Step(now, Submit{Job: id, Team: "t", Route: "r", Demands: demands}))...)
	}
	jobs := 0
	for missing := workers*benchSlots + queued; missing > 0; missing -= benchTasks {
		submit(jobs, min(missing, benchTasks))
		jobs++
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n++ {
		now = now.Add(time.Microsecond)
		submit(jobs+n, 1)
		i := n % len(running)
		ended := running[i]
		actions := p.Step(now, Finished{Task: ended.Task, Worker: ended.Worker, Elapsed: benchMillis * time.Millisecond})
		for _, a := range actions {
			if place, ok := a.(Place); ok {
				running[i] = place
			}
		}
	}
}

// BenchmarkAdmission measures the refusal of a job that could not meet its
// deadline because of a long queue.
func BenchmarkAdmission(b *testing.B) {
	p := poolWith(Config{MaxQueue: 1_000_000}, contract.Capacity{Slots: benchSlots})
	for n := range 1_000 {
		p.Step(testStart, Submit{Job: contract.JobID(fmt.Sprint("j", n)), Demands: declared(benchTasks, benchMillis)})
	}
	late := Submit{Job: "late", Demands: declared(contract.MaxTasks, benchMillis), Deadline: testStart.Add(time.Minute)}
	b.ReportAllocs()
	for b.Loop() {
		p.Step(testStart, late)
	}
}

// BenchmarkWorkerChange measures a worker that leaves, joins again and is
// granted credits.
func BenchmarkWorkerChange(b *testing.B) {
	for _, workers := range []int{11, 110, 1_100, 7_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			caps := make([]contract.Capacity, workers)
			for i := range caps {
				caps[i] = contract.Capacity{Slots: benchSlots}
			}
			p := poolWith(Config{}, caps...)
			w := testWorker(workers/2, caps[0])
			b.ReportAllocs()
			for b.Loop() {
				p.Step(testStart, WorkerDown{Worker: host.Ref(w.Ref)})
				p.Step(testStart, WorkerUp{Worker: w})
				p.Step(testStart, CreditGranted{Worker: w.Ref, Epoch: 1, Slots: benchSlots})
			}
		})
	}
}
