package schedule

// Summary is the state of a pool, for logs and metrics.
type Summary struct {
	Pool string
	// The pool's workers are counted in three groups: available ones, suspected
	// ones, which get one task at a time, and those that are unreachable or
	// take no work.
	Workers, Suspects, Unavailable int
	// CapacityMilliCPU is the total CPU of the available workers, and Used the part of it
	// that runs use, in thousandths of a core.
	CapacityMilliCPU, UsedMilliCPU int
	// ViableJobs is the number of jobs with waiting tasks that began in time or can
	// still meet their objective. Late is that of jobs with waiting tasks that
	// missed their latest start before they began. Viable, Late and Jobs count
	// the jobs of all pools.
	ViableJobs, LateJobs int
	// Jobs is the number of jobs that have not ended.
	Jobs int
}

// Summaries returns the state of each pool that has a worker, in the order in
// which their workers first reported.
func (s *Scheduler) Summaries() []Summary {
	var out []Summary
	indexOf := map[string]int{}
	for _, w := range s.workerList {
		if w.Pool == "" {
			continue
		}
		i, ok := indexOf[w.Pool]
		if !ok {
			i = len(out)
			indexOf[w.Pool] = i
			out = append(out, Summary{Pool: w.Pool, ViableJobs: len(s.viableJobs), LateJobs: len(s.lateJobs), Jobs: len(s.jobs)})
		}
		p := &out[i]
		switch {
		case w.unreachable || !w.usable:
			p.Unavailable++
		case w.suspect():
			p.Suspects++
		default:
			p.Workers++
			p.CapacityMilliCPU += w.cap.MilliCPU
			p.UsedMilliCPU += w.used.MilliCPU
		}
	}
	return out
}
