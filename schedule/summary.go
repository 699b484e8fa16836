package schedule

// Summary is how a pool stands, for logs and metrics.
type Summary struct {
	Pool string
	// Workers take new work; Suspects get one task at a time.
	Workers, Suspects, Away int
	// Room and Used are in thousandths of a processor of the workers that
	// take new work and are not suspected.
	Room, Used int
	// Viable and Late are jobs with tasks that wait.
	Viable, Late int
	Jobs         int
}

// Summaries returns how the pools stand.
func (s *Scheduler) Summaries() []Summary {
	var out []Summary
	at := map[string]int{}
	for _, w := range s.order {
		if w.Pool == "" {
			continue
		}
		i, ok := at[w.Pool]
		if !ok {
			i = len(out)
			at[w.Pool] = i
			out = append(out, Summary{Pool: w.Pool, Viable: len(s.viable), Late: len(s.late), Jobs: len(s.jobs)})
		}
		p := &out[i]
		switch {
		case w.away || !w.usable:
			p.Away++
		case w.suspect():
			p.Suspects++
		default:
			p.Workers++
			p.Room += w.cap.MilliCPU
			p.Used += w.used.MilliCPU
		}
	}
	return out
}
