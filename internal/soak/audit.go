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

// report is the result of a soak. The first group of fields counts violations.
type report struct {
	tasksStartedTwice  int // task IDs that started more than once
	echoesStartedTwice int // tasks of a submission that started more than once
	partialAnswers     int // answers with status 200 that lack the result of a task
	wrongResults       int // answers with the result of another task or caller
	falseNotRun        int // tasks reported "not-run" that have started
	falseRan           int // tasks reported "ran" that have not started
	ledgerMismatches   int // ledger rows that contradict the upstreams' counts
	unreadJobs         int // jobs whose ledger rows could not be read

	submissions, tasks, calls                  int
	completeAnswers, lostAnswers, otherAnswers int
	unknownAnswers                             int
	otherAnswersByKind                         map[string]int // by error kind and outcome
	startedTasks                               int
	ledgerRows, unknownLedgerRows              int
	tasksWithoutRow                            int // started tasks without a ledger row
	faults                                     map[fault]int
	elapsed                                    time.Duration
	examples                                   []string
}

// violations returns the number of all violations.
func (r *report) violations() int {
	return r.tasksStartedTwice + r.echoesStartedTwice + r.partialAnswers + r.wrongResults + r.falseNotRun + r.falseRan + r.ledgerMismatches + r.unreadJobs
}

// maxExamples is the number of violations that are printed in detail.
const maxExamples = 12

// addViolation increments n, which is a counter of the report, and adds the violation
// to the examples if there are fewer than maxExamples.
func (r *report) addViolation(n *int, format string, args ...any) {
	*n++
	if len(r.examples) < maxExamples {
		r.examples = append(r.examples, fmt.Sprintf(format, args...))
	}
}

// upstreamCounts holds the counts of starts and ends, summed over all upstreams.
type upstreamCounts struct {
	tasks  map[string]standin.Count // by task ID
	echoes map[string]int           // starts by echo
}

func readCounts(sys *testbed.System) (upstreamCounts, error) {
	total := upstreamCounts{tasks: make(map[string]standin.Count), echoes: make(map[string]int)}
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

// audit compares the answers to the callers and the ledger with the starts that the
// upstreams counted.
func audit(sys *testbed.System, submissions []*submission) *report {
	r := &report{submissions: len(submissions), otherAnswersByKind: make(map[string]int)}
	counted, err := readCounts(sys)
	if err != nil {
		r.addViolation(&r.unreadJobs, "read the upstreams' counts: %v", err)
		return r
	}
	r.startedTasks = len(counted.tasks)
	for id, c := range counted.tasks {
		if c.Starts > 1 {
			r.addViolation(&r.tasksStartedTwice, "task %s started %d times", id, c.Starts)
		}
	}
	for _, s := range submissions {
		r.tasks += len(s.echoes)
		r.calls += len(s.answers)
		r.auditStarts(s, counted)
		for _, a := range s.answers {
			r.auditAnswer(s, a, counted)
		}
		r.auditLastAnswer(s, counted)
	}
	r.auditLedger(sys, submissions, counted)
	return r
}

func (r *report) auditStarts(s *submission, counted upstreamCounts) {
	for _, echo := range s.echoes {
		if n := counted.echoes[echo]; n > 1 {
			r.addViolation(&r.echoesStartedTwice, "%s started %d times; calls: %s", echo, n, s.describeCalls())
		}
	}
}

// describeCalls describes a submission and its calls in one line.
func (s *submission) describeCalls() string {
	out := fmt.Sprintf("single=%t keyed=%t", s.single, s.keyed)
	for _, a := range s.answers {
		out += fmt.Sprintf(" [lost=%t %d %s %s]", a.lost, a.status, a.outcome, a.job)
	}
	return out
}

// auditAnswer classifies an answer and checks it if its status is 200.
func (r *report) auditAnswer(s *submission, a answer, counted upstreamCounts) {
	switch {
	case a.lost:
		r.lostAnswers++
	case a.status == http.StatusOK:
		r.completeAnswers++
		r.auditCompleteAnswer(s, a, counted)
	default:
		r.otherAnswers++
		r.otherAnswersByKind[errorKind(a)+", "+a.outcome]++
		if a.outcome == contract.OutcomeUnknown.String() {
			r.unknownAnswers++
		}
	}
}

// errorKind returns the error kind in the body of an answer, or else its HTTP
// status.
func errorKind(a answer) string {
	var body struct {
		Kind string `json:"kind"`
	}
	if json.Unmarshal(a.body, &body) != nil || body.Kind == "" {
		return fmt.Sprint(a.status)
	}
	return body.Kind
}

// auditCompleteAnswer checks that an answer with status 200 holds the result of each
// task, and that each task has started.
func (r *report) auditCompleteAnswer(s *submission, a answer, counted upstreamCounts) {
	got := echoesIn(s, a)
	if len(got) != len(s.echoes) {
		r.addViolation(&r.partialAnswers, "answer has %d of %d results; calls: %s", len(got), len(s.echoes), s.describeCalls())
		return
	}
	if !slices.Equal(got, s.echoes) {
		r.addViolation(&r.wrongResults, "answer has echoes %v, want %v", got, s.echoes)
	}
	for _, echo := range s.echoes {
		if counted.echoes[echo] == 0 {
			r.addViolation(&r.falseRan, "%s has a result but never started", echo)
		}
	}
}

// taskResult holds the field of a task's result that is checked.
type taskResult struct {
	Body standin.Answer `json:"body"`
}

// echoesIn returns the echoes in an answer with status 200.
func echoesIn(s *submission, a answer) []string {
	if s.single {
		var one standin.Answer
		if json.Unmarshal(a.body, &one) != nil {
			return nil
		}
		return []string{one.Echo}
	}
	var decoded struct {
		Results []taskResult `json:"results"`
	}
	if json.Unmarshal(a.body, &decoded) != nil {
		return nil
	}
	var out []string
	for _, res := range decoded.Results {
		out = append(out, res.Body.Echo)
	}
	return out
}

// auditLastAnswer checks the outcomes of the tasks in the last answer. If the last
// answer or all answers have the outcome "not-run", no task may have started.
func (r *report) auditLastAnswer(s *submission, counted upstreamCounts) {
	notRun := func(a answer) bool { return !a.lost && a.outcome == contract.OutcomeNotRun.String() }
	allNotRun := !slices.ContainsFunc(s.answers, func(a answer) bool { return !notRun(a) })
	if allNotRun || notRun(s.lastAnswer()) {
		for _, echo := range s.echoes {
			if counted.echoes[echo] > 0 {
				r.addViolation(&r.falseNotRun, "%s was answered not-run but started; calls: %s", echo, s.describeCalls())
			}
		}
		return
	}
	if s.lastAnswer().lost || s.single {
		return
	}
	var failed struct {
		Tasks []contract.TaskResult `json:"tasks"`
	}
	if json.Unmarshal(s.lastAnswer().body, &failed) != nil {
		return
	}
	for _, t := range failed.Tasks {
		echo := s.echoes[t.Task]
		if t.Outcome == contract.OutcomeNotRun && counted.echoes[echo] > 0 {
			r.addViolation(&r.falseNotRun, "%s was listed as not-run but started; calls: %s", echo, s.describeCalls())
		}
		if t.Outcome == contract.OutcomeRan && counted.echoes[echo] == 0 {
			r.addViolation(&r.falseRan, "%s was listed as ran but never started; calls: %s", echo, s.describeCalls())
		}
	}
}

// auditLedger checks the ledger rows of every job that is named in an answer or was
// seen by an upstream against the upstreams' counts.
func (r *report) auditLedger(sys *testbed.System, submissions []*submission, counted upstreamCounts) {
	jobs := make(map[contract.JobID]bool)
	for _, s := range submissions {
		for _, a := range s.answers {
			if a.job != "" {
				jobs[a.job] = true
			}
		}
	}
	for id := range counted.tasks {
		if t, err := contract.ParseTaskID(id); err == nil {
			jobs[t.Job] = true
		}
	}
	recorded := make(map[string]bool)
	for id := range jobs {
		var rows node.OutcomesAnswer
		if err := testbed.GetJSON(sys.Hubs[0].Admin, "/admin/outcomes/"+string(id), &rows); err != nil {
			r.addViolation(&r.unreadJobs, "read the outcomes of job %s: %v", id, err)
			continue
		}
		for _, row := range rows.Tasks {
			recorded[contract.TaskID{Job: id, Index: row.Task}.String()] = true
		}
		r.auditRows(id, rows, counted)
	}
	for id := range counted.tasks {
		if !recorded[id] {
			r.tasksWithoutRow++
		}
	}
}

// auditRows checks the ledger rows of a job against the starts of its tasks.
func (r *report) auditRows(id contract.JobID, rows node.OutcomesAnswer, counted upstreamCounts) {
	for _, row := range rows.Tasks {
		r.ledgerRows++
		starts := counted.tasks[contract.TaskID{Job: id, Index: row.Task}.String()].Starts
		mismatch := row.Conflict
		switch row.Verdict {
		case ledger.Unknown:
			r.unknownLedgerRows++
		case ledger.NeverRan:
			mismatch = mismatch || starts != 0
		case ledger.RanOnce:
			mismatch = mismatch || starts != 1
		case ledger.Ran:
			mismatch = mismatch || starts == 0
		}
		if mismatch {
			r.addViolation(&r.ledgerMismatches, "task %s/%d: ledger verdict %q, %d starts: %+v", id, row.Task, row.Verdict, starts, row.Records)
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
	line("complete answers", r.completeAnswers)
	line("lost answers", r.lostAnswers)
	line("other answers", r.otherAnswers)
	line("  with outcome unknown", r.unknownAnswers)
	for _, k := range slices.Sorted(maps.Keys(r.otherAnswersByKind)) {
		line("  "+k, r.otherAnswersByKind[k])
	}
	for _, f := range slices.Sorted(maps.Keys(r.faults)) {
		line("fault: "+string(f), r.faults[f])
	}
	line("tasks started", r.startedTasks)
	line("ledger rows read", r.ledgerRows)
	line("  unknown", r.unknownLedgerRows)
	line("started tasks without a row", r.tasksWithoutRow)
	line("VIOLATIONS", r.violations())
	line("  task IDs started twice", r.tasksStartedTwice)
	line("  submitted tasks started twice", r.echoesStartedTwice)
	line("  partial answers", r.partialAnswers)
	line("  answers with wrong results", r.wrongResults)
	line("  false not-run", r.falseNotRun)
	line("  false ran", r.falseRan)
	line("  ledger rows that contradict the upstreams", r.ledgerMismatches)
	line("  jobs with unreadable ledger rows", r.unreadJobs)
	w.Flush()
	for _, e := range r.examples {
		fmt.Println("  -", e)
	}
}
