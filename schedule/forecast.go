package schedule

import "time"

const (
	// slotTime is the resolution of a forecast: a short task takes ten slots.
	slotTime = 5 * time.Millisecond
	// forecastSlots bound a forecast: jobs of sub-second tasks have no use for
	// an answer that comes later. Behind it the work is added up at the pool's
	// rate.
	forecastSlots = 400
	// forecastKept is how long what running tasks will free is not counted
	// anew.
	forecastKept = 5 * time.Millisecond
	// overdueShare of a task's expected time is what one is given that has
	// taken longer already.
	overdueShare = 0.25
)

// forecastSpan is the time up to the end of a forecast.
const forecastSpan = forecastSlots * slotTime

// forecast is what processors of a pool are free, now and as running tasks end,
// in thousandths. Load pattern: more work waits than fits. Whether a job can
// still start in time depends on when the tasks that run now end, and on what
// goes before it; the amount of work alone says little, since a few long tasks
// hold as much work as many short ones.
type forecast struct {
	free  float64
	freed [forecastSlots]float64
	// above is the rate in each slot at which jobs come that go first, and for
	// how many slots their tasks run.
	above      float64
	aboveSlots int
	slot       int
	// room is what the pool has at all; beyond is the work, in thousandths of
	// processors times seconds, that comes before the next job behind the last
	// slot.
	room, beyond float64
}

// running caches what the running tasks of a pool will free.
type running struct {
	at     time.Duration
	freed  [forecastSlots]float64
	beyond float64
}

// forecast returns the forecast for the job, before any job that waits.
func (s *Scheduler) forecast(now time.Duration, j *job) forecast {
	r := s.runningOf(now, j.Pool)
	f := forecast{freed: r.freed, beyond: r.beyond, room: float64(s.room(j.Pool))}
	need := j.widestNeed()
	for w := range s.soundOf(j.Pool) {
		f.free += float64(w.cap.MilliCPU - w.used.MilliCPU - leftover(w.cap.MilliCPU, need))
	}
	cpu, work := s.demandAbove(now, j.Pool, j.rank)
	if cpu > 0 {
		f.above = cpu * slotTime.Seconds()
		f.aboveSlots = slots(time.Duration(work / cpu * float64(time.Second)))
	}
	return f
}

// widestNeed returns the most processors that one of the job's tasks asks for.
func (j *job) widestNeed() int {
	need := 0
	for _, st := range j.Steps {
		need = max(need, st.Need.MilliCPU)
	}
	return need
}

// leftover returns what of a full worker's processors is too small for a task:
// at most half of one on average, as tasks differ.
func leftover(processors, need int) int {
	if need == 0 {
		return 0
	}
	return min(processors%need, need/2)
}

func (s *Scheduler) runningOf(now time.Duration, pool string) *running {
	r := s.running[pool]
	if r == nil {
		r = &running{at: now - 2*forecastKept}
		s.running[pool] = r
	}
	if now-r.at < forecastKept {
		return r
	}
	*r = running{at: now}
	for w := range s.soundOf(pool) {
		for _, x := range w.runs {
			left := max(x.placed+x.expected-now, time.Duration(overdueShare*float64(x.expected)))
			if at := slots(left); at < forecastSlots {
				r.freed[at] += float64(x.need.MilliCPU)
			} else {
				r.beyond += float64(x.need.MilliCPU) * (left - forecastSpan).Seconds()
			}
		}
	}
	return r
}

func slots(d time.Duration) int { return max(1, int(d/slotTime)) }

// advance lets a slot pass; false at the end of the forecast.
func (f *forecast) advance() bool {
	if f.slot++; f.slot >= forecastSlots {
		return false
	}
	f.free += f.freed[f.slot]
	if f.above > 0 {
		f.take(f.above, f.aboveSlots)
	}
	return true
}

func (f *forecast) take(need float64, slots int) {
	f.free -= need
	if end := f.slot + slots; end < forecastSlots {
		f.freed[end] += need
	}
}

// start starts count equal tasks as room comes; it returns how many are left at
// the end of the forecast. Tasks that ask for no processors start at once.
func (f *forecast) start(count int, need float64, slots int) int {
	for count > 0 && need > 0 {
		if n := min(count, int(f.free/need)); n > 0 {
			f.take(float64(n)*need, slots)
			count -= n
			continue
		}
		if !f.advance() {
			return count
		}
	}
	return 0
}

// startJob starts the waiting tasks of a job and returns when the last of them
// starts, from now.
func (s *Scheduler) startJob(f *forecast, j *job) time.Duration {
	t := 0
	late, behind := false, 0.0
	for step := range j.Steps {
		st := &j.Steps[step]
		count := 0
		for range st.Count {
			if len(j.tasks) == 0 && len(st.After) == 0 || len(j.tasks) > 0 && j.tasks[t].phase == phaseWaiting {
				count++
			}
			t++
		}
		need, each := float64(st.Need.MilliCPU), s.expected(j, step)
		if left := f.start(count, need, slots(each)); left > 0 {
			// Of the job's own tasks only those wait for others that the pool
			// can't run at once.
			late, behind = true, f.beyond+max(0, float64(left)*need-f.room)*each.Seconds()
			f.beyond += float64(left) * need * each.Seconds()
		}
	}
	if late {
		return forecastSpan + time.Duration(behind/max(f.room, 1)*float64(time.Second))
	}
	return time.Duration(f.slot) * slotTime
}
