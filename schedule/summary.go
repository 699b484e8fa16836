package schedule

import "time"

// PoolSummary is the state of a pool, for logs and metrics.
type PoolSummary struct {
	Pool string
	// AvailableWorkers counts the pool's available workers, SuspectedWorkers the
	// suspected ones, which get one task at a time, and UnavailableWorkers those that
	// are unreachable or take no new work, and Cells those set aside for confined jobs.
	// Each worker is in one of the four counts.
	AvailableWorkers, SuspectedWorkers, UnavailableWorkers, Cells int
	// LostWorkers counts the workers that crashed under confined jobs and are not back,
	// and CellLimit is how many workers may be lost or cells.
	LostWorkers, CellLimit int
	// ConfinedQueues is the number of the pool's queues that are confined.
	ConfinedQueues int
	// UnreachableWorkers counts those of UnavailableWorkers that the hub can't reach.
	UnreachableWorkers int
	// SlowWorkers counts those of AvailableWorkers that are slow beside the fastest of
	// the pool.
	SlowWorkers int
	// EvacuatedWorkers counts those of UnavailableWorkers that are in evacuated failure
	// domains.
	EvacuatedWorkers int
	// CapacityMilliCPU is the total CPU of the workers counted in AvailableWorkers,
	// and UsedMilliCPU the part of it that runs use, in thousandths of a core.
	CapacityMilliCPU, UsedMilliCPU int
	// ExpectedMilliCPU is the CPU of the workers that have not attached to this leader and
	// are expected to; the first of them in ExpectedDelay.
	ExpectedMilliCPU int
	ExpectedDelay    time.Duration
	// ViableJobs is the number of jobs with waiting tasks that began in time or
	// can still meet their objective. LateJobs is the number of jobs with waiting
	// tasks that missed their latest start before they began, or were admitted late.
	// Both count the jobs of all pools.
	ViableJobs, LateJobs int
	// Jobs is the number of jobs of all pools that have not ended.
	Jobs int
}

// PoolSummaries returns the state of each pool that has a worker. The pools are in
// the order in which the first worker of each reported.
func (s *Scheduler) PoolSummaries(now time.Duration) []PoolSummary {
	var out []PoolSummary
	indexOf := map[string]int{}
	for _, w := range s.workerList {
		if w.Pool == "" {
			continue
		}
		i, ok := indexOf[w.Pool]
		if !ok {
			i = len(out)
			indexOf[w.Pool] = i
			first, _ := s.firstExpected(now, w.Pool)
			out = append(out, PoolSummary{Pool: w.Pool, ExpectedMilliCPU: s.expectedMilliCPU(now, w.Pool), ExpectedDelay: first, ViableJobs: len(s.viableJobs), LateJobs: len(s.lateJobs) + len(s.deferredJobs), Jobs: len(s.jobs), ConfinedQueues: s.confinement.Count(w.Pool)})
			if c := s.cells[w.Pool]; c != nil {
				out[i].LostWorkers, out[i].CellLimit = len(c.lost), s.cellLimit(now, w.Pool)
			}
		}
		p := &out[i]
		switch {
		case !w.takesWork():
			p.UnavailableWorkers++
			if w.unreachable {
				p.UnreachableWorkers++
			}
			if w.evacuated {
				p.EvacuatedWorkers++
			}
		case w.cell:
			p.Cells++
		case w.suspect():
			p.SuspectedWorkers++
		default:
			p.AvailableWorkers++
			if s.poolSpeedOf(w.Pool).isSlow(w) {
				p.SlowWorkers++
			}
			p.CapacityMilliCPU += w.cap.MilliCPU
			p.UsedMilliCPU += w.used.MilliCPU
		}
	}
	return out
}
