package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

// touchReplay plays ten workers under a steady load of jobs of two tasks of 60 ms.
// Messages of the first cut of them arrive only after the cut; those of the hung worker
// arrive, but its runs don't end.
type touchReplay struct {
	*harness
	cut, hung int
	// ends holds the runs to end, by the time at which they do.
	ends map[time.Duration][]Order
}

const touchWorkers = 10

func newTouchReplay(t *testing.T) *touchReplay {
	r := &touchReplay{harness: newHarness(t), hung: -1, ends: map[time.Duration][]Order{}}
	for i := range touchWorkers {
		r.worker(fmt.Sprint("w", i), 16)
	}
	r.now += attachGracePeriod
	return r
}

func (r *touchReplay) workerAt(i int) *Worker {
	return r.sch.workers[contract.HostID(fmt.Sprint("w", i))]
}

// play plays the load for the duration.
func (r *touchReplay) play(d time.Duration) {
	for until := r.now + d; r.now < until; r.now += 5 * ms {
		for i := range touchWorkers {
			if w := r.workerAt(i); i >= r.cut && r.now%(100*ms) == 0 {
				r.sch.AgentHeard(r.now, w.Host)
			}
		}
		for _, o := range r.ends[r.now] {
			var i int
			_, err := fmt.Sscanf(string(o.Host), "w%d", &i)
			must.NoError(r.t, err)
			if i < r.cut {
				r.ends[r.now+5*ms] = append(r.ends[r.now+5*ms], o)
				continue
			}
			r.sch.AgentHeard(r.now, o.Host)
			if c := r.sch.RunEnded(r.now, o.Host, contract.RunEnded{RunRef: o.Start.RunRef, Kind: contract.EndDone}); c != nil {
				j := r.sch.jobs[c.Job]
				j.Done[c.Task] = true
				r.sch.TaskEndApplied(c.DurableTask)
				if j.Done[0] && j.Done[1] {
					r.sch.JobEnded(c.Job)
				}
			}
		}
		delete(r.ends, r.now)
		for i := range 2 {
			j := testJob(fmt.Sprint(r.now, "-", i), step(2, 1, 60))
			r.sch.AddTransient(durable.NewJob(&j, 0), r.now, false)
		}
		if r.now%(20*ms) == 0 {
			r.sch.CheckRuns(r.now)
		}
		for _, o := range r.place() {
			if o.Start != nil && o.Host != contract.HostID(fmt.Sprint("w", r.hung)) {
				at := r.now + 60*ms
				r.ends[at] = append(r.ends[at], o)
			}
		}
	}
}

// TestWorkersOutOfTouchAreNotSuspected guards against workers that stay idle after a cut,
// since the ends of their runs came late.
func TestWorkersOutOfTouchAreNotSuspected(t *testing.T) {
	for _, length := range []time.Duration{160 * ms, 400 * ms, 900 * ms} {
		r := newTouchReplay(t)
		r.play(time.Second)
		r.cut = 3
		r.play(length)
		r.cut = 0
		r.play(30 * ms)
		for i := range touchWorkers {
			must.False(t, r.workerAt(i).suspect(), must.Sprintf("worker %d after a cut of %s", i, length))
		}
		must.InDelta(t, 1, r.sch.statsOf("q").durationRatio, 0.1, must.Sprint("the cut counts as slow work"))
	}
}

// TestHungWorkerInTouchIsSuspected: the agent is heard, so its silence on the runs counts.
func TestHungWorkerInTouchIsSuspected(t *testing.T) {
	r := newTouchReplay(t)
	r.play(time.Second)
	r.hung = 4
	r.play(500 * ms)
	must.True(t, r.workerAt(4).suspect())
	must.False(t, r.workerAt(5).suspect())
}
