package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/internal/standin"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/ledger"
	"github.com/carawaylanding/carawaylanding/node"
)

// starts returns the number of starts by echo, over all upstreams.
func (w *world) starts() (map[string]int, error) {
	total := make(map[string]int)
	for _, u := range w.sys.Upstreams {
		var echoes map[string]int
		if err := testbed.GetJSON(u.HTTP, "/_echoes", &echoes); err != nil {
			return nil, err
		}
		for echo, n := range echoes {
			total[echo] += n
		}
	}
	return total, nil
}

// startsOf returns the starts of a submission's tasks, and fails where a task
// has started twice.
func (w *world) startsOf(s *submission) (int, error) {
	counts, err := w.starts()
	if err != nil {
		return 0, err
	}
	sum := 0
	for _, echo := range s.echoes {
		if counts[echo] > 1 {
			return 0, fmt.Errorf("task %s started %d times", echo, counts[echo])
		}
		sum += counts[echo]
	}
	return sum, nil
}

// waitStarts waits until so many tasks of a submission have started:
// wait-starts NAME N.
func (w *world) waitStarts(args []string) error {
	s, want, err := w.startArgs(args, "wait-starts NAME N")
	if err != nil {
		return err
	}
	return w.await(func() error {
		n, err := w.startsOf(s)
		if err == nil && n < want {
			err = fmt.Errorf("%d of %d tasks have started", n, want)
		}
		return err
	})
}

// expectStarts checks that just so many tasks of a submission have started,
// and none twice: expect-starts NAME N. With N as "once" it checks the latter
// only.
func (w *world) expectStarts(args []string) error {
	if len(args) == 2 && args[1] == "once" {
		args = []string{args[0], "-1"}
	}
	s, want, err := w.startArgs(args, "expect-starts NAME N")
	if err != nil {
		return err
	}
	n, err := w.startsOf(s)
	if err == nil && want >= 0 && n != want {
		err = fmt.Errorf("%d tasks have started, not %d", n, want)
	}
	return err
}

func (w *world) startArgs(args []string, usage string) (*submission, int, error) {
	if err := need(args, 2, usage); err != nil {
		return nil, 0, err
	}
	s := w.submissions[args[0]]
	if s == nil {
		return nil, 0, fmt.Errorf("nothing was submitted as %q", args[0])
	}
	n, err := strconv.Atoi(args[1])
	return s, n, err
}

// expectAnswer waits for a submission's answer and checks it:
// expect-answer NAME STATUS [OUTCOME]. STATUS may be "lost". A whole answer
// must hold the echo of each of its tasks.
func (w *world) expectAnswer(args []string) error {
	if len(args) < 2 || len(args) > 3 {
		return fmt.Errorf("usage: expect-answer NAME STATUS [OUTCOME]")
	}
	s := w.submissions[args[0]]
	if s == nil {
		return fmt.Errorf("nothing was submitted as %q", args[0])
	}
	if err := s.wait(); err != nil {
		return err
	}
	if args[1] == "lost" {
		if s.err == nil {
			return fmt.Errorf("the answer came: %d %s", s.status, s.answer)
		}
		return nil
	}
	if s.err != nil {
		return s.err
	}
	if got := strconv.Itoa(s.status); got != args[1] {
		return fmt.Errorf("answered %s, not %s: %s", got, args[1], s.answer)
	}
	if got := s.answered.Get(forward.HeaderOutcome); len(args) == 3 && got != args[2] {
		return fmt.Errorf("outcome %q, not %q: %s", got, args[2], s.answer)
	}
	if s.status == http.StatusOK {
		return s.whole()
	}
	return nil
}

func (s *submission) wait() error {
	select {
	case <-s.done:
		return nil
	case <-time.After(2 * callLimit):
		return fmt.Errorf("no answer within %v", 2*callLimit)
	}
}

// jobAnswer is the part of a job's answer that is checked.
type jobAnswer struct {
	Results []struct {
		Body standin.Answer `json:"body"`
	} `json:"results"`
}

// whole checks that the answer has each task's own result.
func (s *submission) whole() error {
	var echoes []string
	if s.path == "/v1/jobs" {
		var a jobAnswer
		if err := json.Unmarshal(s.answer, &a); err != nil {
			return err
		}
		for _, r := range a.Results {
			echoes = append(echoes, r.Body.Echo)
		}
	} else {
		var a standin.Answer
		if err := json.Unmarshal(s.answer, &a); err != nil {
			return err
		}
		echoes = append(echoes, a.Echo)
	}
	if fmt.Sprint(echoes) != fmt.Sprint(s.echoes) {
		return fmt.Errorf("answered %v, not %v", echoes, s.echoes)
	}
	return nil
}

// expectOutcome waits until the ledger, read at a hub, gives the verdict for
// so many tasks of a submission: expect-outcome HUB NAME VERDICT N.
func (w *world) expectOutcome(args []string) error {
	if err := need(args, 4, "expect-outcome HUB NAME VERDICT N"); err != nil {
		return err
	}
	s, h, err := w.submission(args[1], args[0])
	if err != nil {
		return err
	}
	if err := s.wait(); err != nil {
		return err
	}
	want, err := strconv.Atoi(args[3])
	if err != nil {
		return err
	}
	return w.await(func() error {
		a, err := outcomes(h.Admin, s.jobID())
		if err != nil {
			return err
		}
		n := 0
		for _, t := range a.Tasks {
			if t.Verdict == ledger.Verdict(args[2]) {
				n++
			}
		}
		if n != want {
			return fmt.Errorf("%d tasks have the verdict %q, not %d: %+v", n, args[2], want, a.Tasks)
		}
		return nil
	})
}

// expectRecorded waits until the ledger says, by the upstreams' own task IDs,
// that so many started tasks of a submission ran once. It serves where the
// answer that names the job was lost: expect-recorded HUB NAME N.
func (w *world) expectRecorded(args []string) error {
	if err := need(args, 3, "expect-recorded HUB NAME N"); err != nil {
		return err
	}
	_, h, err := w.submission(args[1], args[0])
	if err != nil {
		return err
	}
	want, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	return w.await(func() error {
		n, err := w.recordedOnce(h)
		if err == nil && n != want {
			err = fmt.Errorf("%d started tasks are recorded as run once, not %d", n, want)
		}
		return err
	})
}

// recordedOnce returns the number of tasks that an upstream has counted and
// that the ledger calls "ran once".
func (w *world) recordedOnce(h *testbed.Process) (int, error) {
	n := 0
	for _, u := range w.sys.Upstreams {
		var tasks map[string]standin.Count
		if err := testbed.GetJSON(u.HTTP, "/_counts", &tasks); err != nil {
			return 0, err
		}
		for id := range tasks {
			t, err := contract.ParseTaskID(id)
			if err != nil {
				return 0, err
			}
			a, err := outcomes(h.Admin, t.Job)
			if err != nil {
				return 0, err
			}
			n += ranOnce(a, t.Index)
		}
	}
	return n, nil
}

// ranOnce returns 1 where the task ran once, else 0.
func ranOnce(a node.OutcomesAnswer, index uint32) int {
	for _, t := range a.Tasks {
		if t.Task == index && t.Verdict == ledger.RanOnce {
			return 1
		}
	}
	return 0
}

func outcomes(admin string, id contract.JobID) (node.OutcomesAnswer, error) {
	var a node.OutcomesAnswer
	if id == "" {
		return a, fmt.Errorf("the answer names no job")
	}
	err := testbed.GetJSON(admin, "/admin/outcomes/"+string(id), &a)
	return a, err
}

// expectTruth checks that an answer agrees with the upstreams: "ran" has
// started each task, "not-run" none: expect-truth NAME.
func (w *world) expectTruth(args []string) error {
	if err := need(args, 1, "expect-truth NAME"); err != nil {
		return err
	}
	s := w.submissions[args[0]]
	if s == nil {
		return fmt.Errorf("nothing was submitted as %q", args[0])
	}
	if err := s.wait(); err != nil {
		return err
	}
	n, err := w.startsOf(s)
	if err != nil {
		return err
	}
	outcome := s.answered.Get(forward.HeaderOutcome)
	if outcome == contract.OutcomeRan.String() && n != len(s.echoes) || outcome == contract.OutcomeNotRun.String() && n != 0 {
		return fmt.Errorf("answered %q, and %d of %d tasks started", outcome, n, len(s.echoes))
	}
	return nil
}

// mark notes how many starts an upstream has seen: mark UPSTREAM.
func (w *world) mark(args []string) error {
	return w.onUpstream(args, "mark UPSTREAM", func(name string, n int) error {
		w.marks[name] = n
		return nil
	})
}

// expectUnmoved checks that an upstream has seen no start since its mark:
// expect-unmoved UPSTREAM.
func (w *world) expectUnmoved(args []string) error {
	return w.onUpstream(args, "expect-unmoved UPSTREAM", func(name string, n int) error {
		if n != w.marks[name] {
			return fmt.Errorf("%s has seen %d starts since its mark", name, n-w.marks[name])
		}
		return nil
	})
}

func (w *world) onUpstream(args []string, usage string, f func(string, int) error) error {
	if err := need(args, 1, usage); err != nil {
		return err
	}
	p, err := w.process(args[0])
	if err != nil {
		return err
	}
	var echoes map[string]int
	if err := testbed.GetJSON(p.HTTP, "/_echoes", &echoes); err != nil {
		return err
	}
	n := 0
	for _, c := range echoes {
		n += c
	}
	return f(args[0], n)
}
