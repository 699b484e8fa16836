package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

// BenchmarkDecision measures one submission of a job with 4 tasks of 15 cores, its
// placement and the ends of its tasks, at pools of several sizes. The pool is full, and
// jobs wait for it.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{11, 66, 240, 7000} {
		for _, waiting := range []int{10, 1000} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", workers, waiting), func(b *testing.B) { benchmarkDecision(b, workers, waiting) })
		}
	}
}

func benchmarkDecision(b *testing.B, workers, waiting int) {
	const tasksPerWorker = 4
	state, err := durable.Restore(nil)
	if err != nil {
		b.Fatal(err)
	}
	s := New(1, state, 0)
	s.Release()
	for i := range workers {
		s.WorkerReported(0, &contract.WorkerReport{
			Attach: true, Host: contract.HostID(fmt.Sprint("w", i)), Session: 1,
			Worker: contract.WorkerAnnouncement{ID: "i", Pool: "p", Capacity: contract.Capacity{MilliCPU: 64_000, MemoryMB: 1 << 20}},
		})
	}
	now := time.Duration(0)
	jobs := 0
	submit := func(count int) {
		d := contract.DurableJob{
			ID: contract.DurableJobID(fmt.Sprintf("%016x", jobs)), Queue: "q", Pool: "p", Slack: 1.6, Target: 100 * time.Second, MaxAttempts: 2,
			Steps: []contract.DurableStep{{Count: count, Demand: contract.Demand{MilliCPU: 15_000, MemoryMB: 100, DeclaredMillis: 200}}},
		}
		jobs++
		s.Admit(now, now, &d)
		s.AddTransient(durable.NewJob(&d, 0), now, false)
	}
	for range workers {
		submit(tasksPerWorker)
	}
	s.Place(now)
	running := s.TakeOrders()
	for range waiting {
		submit(tasksPerWorker)
	}
	b.ResetTimer()
	for b.Loop() {
		now += time.Millisecond
		submit(tasksPerWorker)
		for _, o := range running[:tasksPerWorker] {
			end := contract.RunEnded{RunRef: o.Start.RunRef, Kind: contract.EndDone}
			if e := s.RunEnded(now, o.Host, end); e != nil {
				j := s.jobs[e.Job]
				if j.RecordTaskEnd(e.Task, e.Done) {
					s.JobEnded(e.Job)
				}
				s.TaskEndApplied(e.DurableTask)
			}
		}
		running = running[tasksPerWorker:]
		s.Place(now)
		for _, o := range s.TakeOrders() {
			if o.Start != nil {
				running = append(running, o)
			}
		}
	}
}

// BenchmarkReplay measures all decisions of 14 seconds of the three queues of
// docs/HARD-LOAD.md, and reports the share of a core that they take.
func BenchmarkReplay(b *testing.B) {
	for _, load := range []replayLoad{underloaded, burstAndLoss, shortOverload} {
		b.Run(load.name, func(b *testing.B) {
			var counts [3]replayCounts
			for b.Loop() {
				replay(b, load, usualError, 1, true, &counts)
			}
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)/replayLength.Seconds(), "cores")
		})
	}
}
