package schedule

import (
	"fmt"
	"iter"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// maxMisses bounds the jobs that are tried in vain in one call: behind them,
// few would fit.
const maxMisses = 12

// Place starts what fits. Load pattern: more tasks wait than there is room
// for. Jobs that can meet their objective go first, by rank, and then those that
// must start soonest; jobs that are past help fill what is left.
func (s *Scheduler) Place(now time.Duration) {
	s.demote(now)
	misses := s.placeList(now, &s.viable)
	if len(s.late) > 0 && misses == 0 && s.spare() {
		s.placeList(now, &s.late)
	}
}

// placeList places the jobs of one list in their order; it returns how many
// were tried in vain.
func (s *Scheduler) placeList(now time.Duration, list *jobList) int {
	placed, misses := 0, 0
	for _, j := range *list {
		if misses >= maxMisses {
			break
		}
		if s.placeJob(now, j) {
			placed++
		} else {
			misses++
		}
	}
	if placed > 0 {
		*list = slices.DeleteFunc(*list, func(j *job) bool { return j.waiting == 0 })
	}
	return misses
}

// spareShare is the share of the processors that must be free before a job
// that is late may begin: it would take the room of those that come next.
const spareShare = 0.08

func (s *Scheduler) spare() bool {
	room, used := 0, 0
	for _, w := range s.order {
		if w.sound() {
			room += w.cap.MilliCPU
			used += w.used.MilliCPU
		}
	}
	return float64(room-used) > spareShare*float64(room)
}

// sound reports whether the worker takes new work without reserve.
func (w *Worker) sound() bool { return w.usable && !w.away && !w.suspect() }

// soundOf returns the sound workers of a pool.
func (s *Scheduler) soundOf(pool string) iter.Seq[*Worker] {
	return func(yield func(*Worker) bool) {
		for _, w := range s.order {
			if w.Pool == pool && w.sound() && !yield(w) {
				return
			}
		}
	}
}

// placeJob places the job's waiting tasks; it reports whether none is left.
func (s *Scheduler) placeJob(now time.Duration, j *job) bool {
	t := 0
	for step := range j.Steps {
		for index := range j.Steps[step].Count {
			if j.tasks[t].phase == phaseWaiting {
				w := s.pick(now, j, step, &j.tasks[t])
				if w == nil {
					return false
				}
				s.start(now, w, j, step, index, t)
			}
			t++
		}
	}
	return true
}

func (s *Scheduler) start(now time.Duration, w *Worker, j *job, step, index, t int) {
	tk := &j.tasks[t]
	tk.runs++
	s.lastRun++
	tk.run = s.term<<runBits | s.lastRun
	tk.worker = w
	s.setPhase(j, t, phasePlaced)
	j.begun = true
	ref := contract.RunRef{Job: j.ID, Task: uint32(t), Run: tk.run}
	need := j.Steps[step].Need
	s.hold(w, ref, &run{need: need, placed: now, expected: s.expected(j, step), queue: j.Queue})
	w.started(now)
	s.orders = append(s.orders, Order{Host: w.Host, Session: w.Session, Start: &contract.RunStart{
		HeldRun: contract.HeldRun{RunRef: ref, Need: need}, Name: fmt.Sprintf("%s.0.%d.%d", j.ID, step, index), Spec: j.Spec,
	}})
}

// runBits is the width of the count of runs; the term above it keeps the runs
// of a later leader above those of an earlier one.
const runBits = 30

// pick returns the worker that should finish the task first, or nil.
func (s *Scheduler) pick(now time.Duration, j *job, step int, t *task) *Worker {
	st := &j.Steps[step]
	var best *Worker
	var bestCost float64
	for _, w := range s.order {
		if !s.fits(now, w, j, step) {
			continue
		}
		cost := w.cost(st)
		if w.Host == t.avoid {
			cost += avoidCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// avoidCost puts the worker that a task failed on behind all others.
const avoidCost = 100

// remoteCost is what data on another rack costs, as a share of the time.
const remoteCost = 0.5

// cost compares workers: the speed learned first, then how full they are.
func (w *Worker) cost(st *contract.DurableStep) float64 {
	full := float64(w.used.MilliCPU) / float64(max(1, w.cap.MilliCPU))
	cost := w.pace() + fullWeight*full
	if st.Rack != "" && !slices.Contains(w.labels, st.Rack) {
		cost += remoteCost * w.pace()
	}
	return cost
}

// fullWeight spreads tasks over workers of about the same speed, so that the
// loss of one hits few of them.
const fullWeight = 0.1

func (s *Scheduler) fits(now time.Duration, w *Worker, j *job, step int) bool {
	st := &j.Steps[step]
	if w.Pool != j.Pool || !w.usable || w.away || !w.hasRoom(st.Need) {
		return false
	}
	if st.Label != "" && !slices.Contains(w.labels, st.Label) {
		return false
	}
	if st.PerWorker > 0 && w.countStep(j, step) >= st.PerWorker {
		return false
	}
	return w.takes(now, len(w.runs))
}

func (w *Worker) hasRoom(d contract.Demand) bool {
	return w.used.MilliCPU+d.MilliCPU <= w.cap.MilliCPU &&
		w.used.MemoryMB+d.MemoryMB <= w.cap.MemoryMB &&
		w.used.Accelerators+d.Accelerators <= w.cap.Accelerators
}

func (w *Worker) countStep(j *job, step int) int {
	n := 0
	for ref := range w.runs {
		if ref.Job == j.ID {
			if s, _ := j.StepOf(ref.Task); s == step {
				n++
			}
		}
	}
	return n
}
