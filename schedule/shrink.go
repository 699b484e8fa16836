package schedule

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Load pattern: workers lose a part of their capacity for a while, with runs on them that
// need more than is left, and regain it. The runs go on; nothing starts on the worker until
// its runs fit again. A job that only the lost capacity could run is told when to come
// back, not that it never fits.

// ShrunkReason is the reason of a refusal while the workers that were large enough have
// shrunk.
const ShrunkReason = "the workers that are large enough have shrunk"

// setCapacity records the capacity that the worker announces.
func (w *Worker) setCapacity(c contract.Capacity) {
	w.cap = c
	w.largest.MilliCPU = max(w.largest.MilliCPU, c.MilliCPU)
	w.largest.MemoryMB = max(w.largest.MemoryMB, c.MemoryMB)
	w.largest.Accelerators = max(w.largest.Accelerators, c.Accelerators)
}

// overcommittedMilliCPU returns by how much the worker's runs exceed its CPU, which has
// shrunk. What they free covers that first.
func (w *Worker) overcommittedMilliCPU() int { return max(0, w.used.MilliCPU-w.cap.MilliCPU) }

// freeMilliCPU returns the worker's free CPU, in thousandths of a core.
func (w *Worker) freeMilliCPU() int { return max(0, w.cap.MilliCPU-w.used.MilliCPU) }

// blockedByShrinking reports whether the job has a step that no worker of its pool could
// run now, even if idle, although one is large enough when it has all its capacity.
func (s *Scheduler) blockedByShrinking(now time.Duration, d *contract.DurableJob) bool {
	for i := range d.Steps {
		st := &d.Steps[i]
		fits, fitted := false, false
		for _, w := range s.workerList {
			if w.Pool != d.Pool {
				continue
			}
			if stepFits(st, w.cap, w.labels) {
				fits = true
				break
			}
			fitted = fitted || stepFits(st, w.largest, w.labels)
		}
		if !fits && fitted && !s.expectsWorkers(now) {
			return true
		}
	}
	return false
}

// anyShrunk reports whether a worker has less capacity than it had.
func (s *Scheduler) anyShrunk() bool {
	for _, w := range s.workerList {
		if w.cap != w.largest {
			return true
		}
	}
	return false
}

// blockedJobs returns the waiting transient jobs that have not begun and that a worker
// could only run with the capacity that it has lost.
func (s *Scheduler) blockedJobs(now time.Duration) []contract.DurableJobID {
	if !s.anyShrunk() {
		return nil
	}
	var out []contract.DurableJobID
	for _, list := range [][]*job{s.viableJobs, s.lateJobs, s.deferredJobs} {
		for _, j := range list {
			if j.transient && !j.begun && s.blockedByShrinking(now, &j.DurableJob) {
				out = append(out, j.ID)
			}
		}
	}
	return out
}
