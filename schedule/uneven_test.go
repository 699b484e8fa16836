package schedule

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

// load is a load pattern for a pool of 12 workers of 64 cores.
type load struct {
	// speed returns the speed of worker i at a time after the start: 0 hangs, and a
	// worker of negative speed answers no start.
	speed func(i int, at time.Duration) float64
	// rate scales the rates, and stragglers is the share of tasks that take 7 times
	// as long, on any worker.
	rate, stragglers float64
	seed             uint64
}

// outcome is what became of the jobs that a replay submitted in its second half.
type outcome struct {
	jobs, inTime, late, refused, stopped int
	// inTimeOf and jobsOf count by queue, startsOn counts the starts by worker, and
	// suspectMillis the time under suspicion.
	inTimeOf, jobsOf        map[string]int
	startsOn, suspectMillis [12]int
	// unevenMillis is the time for which the pool counted as uneven.
	unevenMillis int
}

// replayed is a replay in progress.
type replayed struct {
	*harness
	load
	rng  *rand.Rand
	jobs map[contract.DurableJobID]*replayedJob
	// running holds the work that is left of each worker's runs, in milliseconds at
	// speed 1.
	running [12]map[contract.RunRef]float64
	out     outcome
}

type replayedJob struct {
	*durable.Job
	arrived time.Duration
	counts  bool
	works   []float64
}

// replay plays 8 s of the second customer's requests to a scheduler, in steps of a
// millisecond, with workers that take the time that their speed implies.
func replayUneven(t *testing.T, l load) outcome {
	r := &replayed{
		harness: newHarness(t), load: l, rng: rand.New(rand.NewPCG(1, l.seed)), jobs: map[contract.DurableJobID]*replayedJob{},
		out: outcome{inTimeOf: map[string]int{}, jobsOf: map[string]int{}},
	}
	for i := range r.running {
		r.worker(fmt.Sprint("w", i), 64_000)
		r.running[i] = map[contract.RunRef]float64{}
	}
	var due [3]float64
	for start, step := r.now, 0; step < 8000; step++ {
		r.now = start + time.Duration(step)*ms
		for i, perSecond := range []float64{200, 35, 600} {
			for due[i] += perSecond * l.rate * 12 / 50 / 1000; due[i] >= 1; due[i]-- {
				r.submitOne(i, step >= 4000)
			}
		}
		if step%20 == 0 {
			r.sch.CheckRuns(r.now)
		}
		for i := range r.running {
			r.work(i, l.speed(i, r.now-start))
		}
		if r.sch.poolSpeedOf("formula").uneven {
			r.out.unevenMillis++
		}
		r.sch.Place(r.now)
		for _, id := range r.sch.JobsToShed(r.now) {
			r.sch.JobEnded(id)
		}
		for _, o := range r.sch.TakeOrders() {
			r.carryOut(o, start)
		}
	}
	return r.out
}

// submitOne submits a job of the customer's queue i. Declared durations are off by up
// to 20%, and the tasks of a job differ by up to 15%.
func (r *replayed) submitOne(i int, counts bool) {
	queue, tasks, millis := []string{"short", "long", "pair"}[i], []int{8, 4, 2}[i], []int{60, 900, 200}[i]
	n := len(r.jobs)
	d := testJob(fmt.Sprint(queue, "-", n), step(tasks, 3200+1500*(n%2), millis))
	d.Queue, d.Priority = queue, []int{0, 2, 1}[i]
	j := &replayedJob{durable.NewJob(&d, 0), r.now, counts, make([]float64, tasks)}
	r.jobs[d.ID] = j
	factor := 0.8 + 0.4*r.rng.Float64()
	for task := range j.works {
		j.works[task] = float64(millis) * factor * (0.85 + 0.3*r.rng.Float64())
		if r.rng.Float64() < r.stragglers {
			j.works[task] *= 7
		}
	}
	admitted := r.sch.Admit(r.now, r.now, &d).OK
	if counts {
		r.out.jobs++
		r.out.jobsOf[queue]++
		if !admitted {
			r.out.refused++
		}
	}
	if admitted {
		r.sch.AddTransient(j.Job, r.now, false)
	}
}

// work lets worker i run for a millisecond.
func (r *replayed) work(i int, speed float64) {
	for ref := range r.running[i] {
		if r.running[i][ref] -= max(speed, 0); r.running[i][ref] <= 0 {
			r.endRun(i, contract.RunEnded{RunRef: ref, Kind: contract.EndDone})
		}
	}
	if r.sch.workerList[i].suspect() {
		r.out.suspectMillis[i]++
	}
}

func (r *replayed) endRun(i int, ended contract.RunEnded) {
	delete(r.running[i], ended.RunRef)
	e := r.sch.RunEnded(r.now, r.sch.workerList[i].Host, ended)
	if e == nil {
		return
	}
	if j := r.jobs[e.Job]; j.RecordTaskEnd(e.Task, e.Done) {
		objective := time.Duration(1.6*float64(j.Steps[0].Demand.DeclaredMillis))*ms + 60*ms
		if took := r.now - j.arrived; j.counts && took <= objective {
			r.out.inTime++
			r.out.inTimeOf[j.Queue]++
		} else if j.counts && took <= 3*objective {
			r.out.late++
		}
		r.sch.JobEnded(e.Job)
	}
	r.sch.TaskEndApplied(e.DurableTask)
}

func (r *replayed) carryOut(o Order, start time.Duration) {
	i, _ := strconv.Atoi(string(o.Host[1:]))
	switch {
	case o.Stop != nil:
		r.out.stopped++
		r.endRun(i, contract.RunEnded{RunRef: *o.Stop, Kind: contract.EndStopped})
	case r.speed(i, r.now-start) < 0:
		r.endRun(i, contract.RunEnded{RunRef: o.Start.RunRef, Kind: contract.EndNotStarted, Unanswered: true})
	default:
		r.out.startsOn[i]++
		r.running[i][o.Start.RunRef] = r.jobs[o.Start.Job].works[o.Start.Task]
	}
}

func evenSpeed(int, time.Duration) float64 { return 1 }

// quarterSlow is the second customer's pool.
func quarterSlow(i int, _ time.Duration) float64 {
	if i%4 == 0 {
		return 0.55
	}
	return 1.2
}

// turns returns the speeds of a pool of which the workers with 0 < i <= last have
// another speed from a time on.
func turns(speed func(int, time.Duration) float64, last int, from time.Duration, to float64) func(int, time.Duration) float64 {
	return func(i int, at time.Duration) float64 {
		if i > 0 && i <= last && at >= from {
			return to
		}
		return speed(i, at)
	}
}

// TestUnevenPoolsAndTails replays loads in which slow workers and stragglers are
// sound, and others in which a worker is ill. It guards against sound workers that
// are suspected and stragglers that are stopped, and against ill workers that keep
// their work.
func TestUnevenPoolsAndTails(t *testing.T) {
	for _, tc := range []struct {
		name string
		load
		// ill workers are those with 0 < i <= ill, and illMillis the least time of 8 s
		// for which each must be suspected. soundMillis is the most time for which all
		// others may be.
		ill, illMillis, soundMillis int
		maxStopped                  int
		minInTime                   float64
	}{
		{"one speed", load{evenSpeed, 1, 0, 0}, 0, 0, 0, 0, 0.94},
		{"one speed, full", load{evenSpeed, 1.6, 0, 0}, 0, 0, 0, 0, 0.94},
		{"1.0, 1.0, 1.3", load{func(i int, _ time.Duration) float64 { return []float64{1, 1, 1.3}[i%3] }, 1, 0, 0}, 0, 0, 0, 0, 0.94},
		{"quarter slow", load{quarterSlow, 1, 0, 0}, 0, 0, 100, 2, 0.94},
		{"quarter slow, full", load{quarterSlow, 1.8, 0, 0}, 0, 0, 100, 2, 0.90},
		{"quarter slow, 3% stragglers, full", load{quarterSlow, 1.6, 0.03, 0}, 0, 0, 800, 40, 0.74},
		{"3% stragglers", load{evenSpeed, 1, 0.03, 0}, 0, 0, 500, 15, 0.82},
		{"quarter slow, 3% stragglers", load{quarterSlow, 1, 0.03, 0}, 0, 0, 500, 15, 0.82},
		{"slow from the start", load{turns(evenSpeed, 1, 0, 0.2), 1, 0, 0}, 1, 7000, 0, 40, 0.93},
		{"turns slow", load{turns(quarterSlow, 1, 4*time.Second, 0.24), 1, 0, 0}, 1, 3500, 100, 40, 0.90},
		{"turns slow, 3% stragglers", load{turns(quarterSlow, 1, 4*time.Second, 0.24), 1, 0.03, 0}, 1, 3000, 800, 50, 0.79},
		{"hangs, 3% stragglers", load{turns(quarterSlow, 1, 4*time.Second, 0), 1, 0.03, 0}, 1, 3500, 800, 60, 0.79},
		{"mute", load{turns(quarterSlow, 1, 4*time.Second, -1), 1, 0.03, 0}, 1, 3500, 800, 60, 0.79},
		{"most turn slow", load{turns(evenSpeed, 8, 4*time.Second, 0.2), 0.6, 0, 0}, 8, 0, 100, 230, 0.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := replayUneven(t, tc.load)
			if strings.HasPrefix(tc.name, "one speed") || strings.HasPrefix(tc.name, "1.0") {
				must.Zero(t, o.unevenMillis, must.Sprint("time under the rules of uneven pools"))
			}
			sound := 0
			for i, millis := range o.suspectMillis {
				if i > 0 && i <= tc.ill {
					must.GreaterEq(t, tc.illMillis, millis, must.Sprint("time under suspicion of worker ", i))
				} else {
					sound += millis
				}
			}
			must.LessEq(t, tc.soundMillis, sound, must.Sprint("time under suspicion of sound workers"))
			must.LessEq(t, tc.maxStopped, o.stopped, must.Sprint("runs stopped"))
			must.GreaterEq(t, tc.minInTime, float64(o.inTime)/float64(o.jobs), must.Sprint("share of jobs in time"))
		})
	}
}

// TestPoolOfOneSpeedIsSharedEvenly guards against placement that takes the noise of
// samples for differences in speed: each worker must get its share of the starts.
func TestPoolOfOneSpeedIsSharedEvenly(t *testing.T) {
	o := replayUneven(t, load{evenSpeed, 1.6, 0, 0})
	must.Zero(t, o.unevenMillis)
	total := 0
	for _, n := range o.startsOn {
		total += n
	}
	for i, n := range o.startsOn {
		must.Between(t, 0.88, float64(n)*12/float64(total), 1.12, must.Sprint("share of worker ", i))
	}
}

// TestPlacementInAnUnevenPool guards against fast workers that are taken by tasks which
// would be in time on slow ones, and against long tasks that go to slow workers although
// a fast one can still do them in time.
func TestPlacementInAnUnevenPool(t *testing.T) {
	for _, tc := range []struct {
		name              string
		millis            int
		waited            time.Duration
		pressed, fastFree bool
		label             string
		want              contract.HostID
	}{
		{name: "short task", millis: 60, fastFree: true, want: "fast"},
		{name: "short task under pressure", millis: 60, pressed: true, fastFree: true, want: "slow"},
		{name: "short task, fast worker full", millis: 60, pressed: true, want: "slow"},
		{name: "long task under pressure", millis: 900, pressed: true, fastFree: true, want: "fast"},
		{name: "long task, fast worker full", millis: 900, pressed: true, want: ""},
		{name: "long task that fits no fast worker", millis: 900, pressed: true, label: "rare", want: "slow"},
		{name: "long task that is late anyway", millis: 900, pressed: true, waited: 1200 * ms, want: "slow"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.worker("slow", 100)
			for i := range 3 {
				h.worker(fmt.Sprint("fast", i), 100)
			}
			h.sch.workerList[0].labels = []string{"rare"}
			h.sch.workerList[0].slownessSamples, h.sch.workerList[0].slowness = slownessWindow, 2.2
			for i := range minTailSamples {
				h.sch.recordTaskDuration("q", 0.9+0.002*float64(i))
			}
			h.sch.updatePoolSpeeds()
			h.sch.poolSpeedOf("formula").pressed = tc.pressed
			for _, w := range h.sch.workerList[1:] {
				w.used.MilliCPU = map[bool]int{true: 20, false: 95}[tc.fastFree]
			}
			d := testJob("j", step(1, 10, tc.millis))
			d.Steps[0].Label = tc.label
			j := durable.NewJob(&d, 0)
			j.State = contract.DurableRunning
			h.sch.AddAccepted(j, h.now-tc.waited)
			var got contract.HostID
			for _, o := range h.place() {
				got = o.Host[:4]
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// TestRunsOfAnIllWorkerAreRescuedInTime guards against long runs on a worker that has
// turned slow which are moved only when they are late: they must be stopped while a new
// run can still meet the objective, and not before.
func TestRunsOfAnIllWorkerAreRescuedInTime(t *testing.T) {
	h := newHarness(t)
	for i := range 4 {
		h.worker(fmt.Sprint("w", i), 100)
	}
	d := testJob("j", step(4, 10, 900))
	h.sch.AddTransient(durable.NewJob(&d, 0), h.now, false)
	orders := h.place()
	must.Len(t, 4, orders)
	ill := h.sch.workers[orders[0].Host]
	ill.lateRuns.evidence = suspectEvidence
	start, stoppedAt := h.now, time.Duration(0)
	for ; stoppedAt == 0 && h.now < start+900*ms; h.now += 20 * ms {
		h.sch.CheckRuns(h.now)
		for _, o := range h.sch.TakeOrders() {
			must.NotNil(t, o.Stop)
			must.Eq(t, ill.Host, o.Host)
			stoppedAt = h.now - start
		}
	}
	// The objective is 1,500 ms and a new run takes 900 ms.
	must.Between(t, 480*ms, stoppedAt, 560*ms)
}
