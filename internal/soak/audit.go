package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/internal/standin"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/ledger"
	"github.com/carawaylanding/carawaylanding/node"
)

// report is the soak's result. The first group are violations.
type report struct {
	doubleTasks   int // task IDs that started twice
	doubleEchoes  int // tasks of a submission that started twice
	partial       int // whole answers that lack a task
	foreign       int // answers with another caller's result
	untrueNotRun  int // "not-run" for what has started
	untrueRan     int // "ran" for what has not started
	ledgerDiffers int // ledger rows against the upstreams' counts
	unread        int // jobs whose rows could not be read

	submissions, tasks, calls int
	whole, lost, refused      int
	unknownAnswers            int
	kinds                     map[string]int // other answers by kind and outcome
	started                   int
	rows, unknownRows         int
	absent                    int // started tasks without a row
	faults                    map[fault]int
	elapsed                   time.Duration
	examples                  []string
}

func (r *report) violations() int {
	return r.doubleTasks + r.doubleEchoes + r.partial + r.foreign + r.untrueNotRun + r.untrueRan + r.ledgerDiffers + r.unread
}

// maxExamples bounds the violations that are printed one by one.
const maxExamples = 12

func (r *report) violate(n *int, format string, args ...any) {
	*n++
	if len(r.examples) < maxExamples {
		r.examples = append(r.examples, fmt.Sprintf(format, args...))
	}
}

// counts are what the upstreams counted.
type counts struct {
	tasks  map[string]standin.Count
	echoes map[string]int
}

func readCounts(sys *testbed.System) (counts, error) {
	total := counts{tasks: make(map[string]standin.Count), echoes: make(map[string]int)}
	for _, u := range sys.Upstreams {
		var tasks map[string]standin.Count
		if err := testbed.GetJSON(u.HTTP, "/_counts", &tasks); err != nil {
			return total, err
		}
		var echoes map[string]int
		if err := testbed.GetJSON(u.HTTP, "/_echoes", &echoes); err != nil {
			return total, err
		}
		for id, c := range tasks {
			have := total.tasks[id]
			total.tasks[id] = standin.Count{Starts: have.Starts + c.Starts, Ends: have.Ends + c.Ends}
		}
		for echo, n := range echoes {
			total.echoes[echo] += n
		}
	}
	return total, nil
}

func audit(sys *testbed.System, submissions []*submission) *report {
	r := &report{submissions: len(submissions), kinds: make(map[string]int)}
	seen, err := readCounts(sys)
	if err != nil {
		r.violate(&r.unread, "the upstreams' counts: %v", err)
		return r
	}
	r.started = len(seen.tasks)
	for id, c := range seen.tasks {
		if c.Starts > 1 {
			r.violate(&r.doubleTasks, "task %s started %d times", id, c.Starts)
		}
	}
	for _, s := range submissions {
		r.tasks += len(s.echoes)
		r.calls += len(s.answers)
		r.auditStarts(s, seen)
		for _, a := range s.answers {
			r.auditAnswer(s, a, seen)
		}
		r.auditLast(s, seen)
	}
	r.auditLedger(sys, submissions, seen)
	return r
}

func (r *report) auditStarts(s *submission, seen counts) {
	for _, echo := range s.echoes {
		if n := seen.echoes[echo]; n > 1 {
			r.violate(&r.doubleEchoes, "%s started %d times; calls: %s", echo, n, s.story())
		}
	}
}

// story tells a submission's calls in one line.
func (s *submission) story() string {
	out := fmt.Sprintf("single=%t keyed=%t", s.single, s.keyed)
	for _, a := range s.answers {
		out += fmt.Sprintf(" [lost=%t %d %s %s]", a.lost, a.status, a.outcome, a.job)
	}
	return out
}

func (r *report) auditAnswer(s *submission, a answer, seen counts) {
	switch {
	case a.lost:
		r.lost++
	case a.status == http.StatusOK:
		r.whole++
		r.auditWhole(s, a, seen)
	default:
		r.refused++
		r.kinds[kindOf(a)+", "+a.outcome]++
		if a.outcome == contract.OutcomeUnknown.String() {
			r.unknownAnswers++
		}
	}
}

// kindOf returns the kind that an answer with an error names.
func kindOf(a answer) string {
	var body struct {
		Kind string `json:"kind"`
	}
	if json.Unmarshal(a.body, &body) != nil || body.Kind == "" {
		return fmt.Sprint(a.status)
	}
	return body.Kind
}

func (r *report) auditWhole(s *submission, a answer, seen counts) {
	got := echoesOf(s, a)
	if len(got) != len(s.echoes) {
		r.violate(&r.partial, "%d of %d results; calls: %s", len(got), len(s.echoes), s.story())
		return
	}
	if !slices.Equal(got, s.echoes) {
		r.violate(&r.foreign, "got %v, want %v", got, s.echoes)
	}
	for _, echo := range s.echoes {
		if seen.echoes[echo] == 0 {
			r.violate(&r.untrueRan, "%s was answered and never started", echo)
		}
	}
}

// result is the part of a task's answer that is checked.
type result struct {
	Body standin.Answer `json:"body"`
}

func echoesOf(s *submission, a answer) []string {
	if s.single {
		var one standin.Answer
		if json.Unmarshal(a.body, &one) != nil {
			return nil
		}
		return []string{one.Echo}
	}
	var whole struct {
		Results []result `json:"results"`
	}
	if json.Unmarshal(a.body, &whole) != nil {
		return nil
	}
	var out []string
	for _, res := range whole.Results {
		out = append(out, res.Body.Echo)
	}
	return out
}

// auditLast checks what the last answer says of each task. Where every answer
// said that nothing ran, nothing may have started.
func (r *report) auditLast(s *submission, seen counts) {
	notRun := func(a answer) bool { return !a.lost && a.outcome == contract.OutcomeNotRun.String() }
	allNotRun := !slices.ContainsFunc(s.answers, func(a answer) bool { return !notRun(a) })
	if allNotRun || notRun(s.last()) {
		for _, echo := range s.echoes {
			if seen.echoes[echo] > 0 {
				r.violate(&r.untrueNotRun, "%s was called not-run and started; calls: %s", echo, s.story())
			}
		}
		return
	}
	if s.last().lost || s.single {
		return
	}
	var failed struct {
		Tasks []contract.TaskResult `json:"tasks"`
	}
	if json.Unmarshal(s.last().body, &failed) != nil {
		return
	}
	for _, t := range failed.Tasks {
		echo := s.echoes[t.Task]
		if t.Outcome == contract.OutcomeNotRun && seen.echoes[echo] > 0 {
			r.violate(&r.untrueNotRun, "%s was listed not-run and started; calls: %s", echo, s.story())
		}
		if t.Outcome == contract.OutcomeRan && seen.echoes[echo] == 0 {
			r.violate(&r.untrueRan, "%s was listed ran and never started; calls: %s", echo, s.story())
		}
	}
}

// auditLedger compares the rows of every job that an answer or an upstream
// names with what the upstreams counted.
func (r *report) auditLedger(sys *testbed.System, submissions []*submission, seen counts) {
	jobs := make(map[contract.JobID]bool)
	for _, s := range submissions {
		for _, a := range s.answers {
			if a.job != "" {
				jobs[a.job] = true
			}
		}
	}
	for id := range seen.tasks {
		if t, err := contract.ParseTaskID(id); err == nil {
			jobs[t.Job] = true
		}
	}
	recorded := make(map[string]bool)
	for id := range jobs {
		var rows node.OutcomesAnswer
		if err := testbed.GetJSON(sys.Hubs[0].Admin, "/admin/outcomes/"+string(id), &rows); err != nil {
			r.violate(&r.unread, "job %s: %v", id, err)
			continue
		}
		for _, row := range rows.Tasks {
			recorded[contract.TaskID{Job: id, Index: row.Task}.String()] = true
		}
		r.auditRows(id, rows, seen)
	}
	for id := range seen.tasks {
		if !recorded[id] {
			r.absent++
		}
	}
}

func (r *report) auditRows(id contract.JobID, rows node.OutcomesAnswer, seen counts) {
	for _, row := range rows.Tasks {
		r.rows++
		starts := seen.tasks[contract.TaskID{Job: id, Index: row.Task}.String()].Starts
		differs := row.Conflict
		switch row.Verdict {
		case ledger.Unknown:
			r.unknownRows++
		case ledger.NeverRan:
			differs = differs || starts != 0
		case ledger.RanOnce:
			differs = differs || starts != 1
		case ledger.Ran:
			differs = differs || starts == 0
		}
		if differs {
			r.violate(&r.ledgerDiffers, "task %s/%d: the ledger says %q, %d starts: %+v", id, row.Task, row.Verdict, starts, row.Records)
		}
	}
}

func (r *report) print(cfg config) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	line := func(name string, n int) { fmt.Fprintf(w, "%s\t%d\n", name, n) }
	fmt.Fprintf(w, "seed\t%d\nelapsed\t%v\n", cfg.seed, r.elapsed.Round(time.Second))
	line("submissions", r.submissions)
	line("tasks", r.tasks)
	line("calls", r.calls)
	line("whole answers", r.whole)
	line("lost answers", r.lost)
	line("other answers", r.refused)
	line("  with outcome unknown", r.unknownAnswers)
	for _, k := range slices.Sorted(maps.Keys(r.kinds)) {
		line("  "+k, r.kinds[k])
	}
	for _, f := range slices.Sorted(maps.Keys(r.faults)) {
		line("fault: "+string(f), r.faults[f])
	}
	line("tasks started", r.started)
	line("ledger rows read", r.rows)
	line("  unknown", r.unknownRows)
	line("started tasks without a row", r.absent)
	line("VIOLATIONS", r.violations())
	line("  task IDs started twice", r.doubleTasks)
	line("  submitted tasks started twice", r.doubleEchoes)
	line("  partial answers", r.partial)
	line("  answers of another caller", r.foreign)
	line("  untrue not-run", r.untrueNotRun)
	line("  untrue ran", r.untrueRan)
	line("  ledger rows that differ", r.ledgerDiffers)
	line("  jobs not read", r.unread)
	w.Flush()
	for _, e := range r.examples {
		fmt.Println("  -", e)
	}
}
