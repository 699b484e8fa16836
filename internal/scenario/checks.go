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

// startsByEcho returns the number of starts by echo, summed over all upstreams.
func (env *environment) startsByEcho() (map[string]int, error) {
	total := make(map[string]int)
	for _, u := range env.sys.Upstreams {
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

// startsOf returns the number of starts of a submission's tasks. It returns an
// error if a task has started more than once.
func (env *environment) startsOf(s *submission) (int, error) {
	counts, err := env.startsByEcho()
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

// waitStarts waits until at least N tasks of a submission have started:
// wait-starts NAME N.
func (env *environment) waitStarts(args []string) error {
	s, want, err := env.parseStartArgs(args, "wait-starts NAME N")
	if err != nil {
		return err
	}
	return env.await(func() error {
		n, err := env.startsOf(s)
		if err == nil && n < want {
			err = fmt.Errorf("%d of %d tasks have started", n, want)
		}
		return err
	})
}

// expectStarts checks that exactly N tasks of a submission have started, and none
// of them twice: expect-starts NAME N. If N is "once", it checks only that none has
// started twice.
func (env *environment) expectStarts(args []string) error {
	if len(args) == 2 && args[1] == "once" {
		args = []string{args[0], "-1"}
	}
	s, want, err := env.parseStartArgs(args, "expect-starts NAME N|once")
	if err != nil {
		return err
	}
	n, err := env.startsOf(s)
	if err == nil && want >= 0 && n != want {
		err = fmt.Errorf("%d tasks have started, want %d", n, want)
	}
	return err
}

// parseStartArgs parses the arguments NAME N.
func (env *environment) parseStartArgs(args []string, usage string) (*submission, int, error) {
	if err := checkArgCount(args, 2, usage); err != nil {
		return nil, 0, err
	}
	s := env.submissions[args[0]]
	if s == nil {
		return nil, 0, fmt.Errorf("no submission is named %q", args[0])
	}
	n, err := strconv.Atoi(args[1])
	return s, n, err
}

// expectAnswer waits for a submission's answer and checks it:
// expect-answer NAME STATUS [OUTCOME]. STATUS is the HTTP status, or "lost" for no
// answer. An answer with status 200 must contain the echo of each task.
func (env *environment) expectAnswer(args []string) error {
	if len(args) < 2 || len(args) > 3 {
		return fmt.Errorf("usage: expect-answer NAME STATUS [OUTCOME]")
	}
	s := env.submissions[args[0]]
	if s == nil {
		return fmt.Errorf("no submission is named %q", args[0])
	}
	if err := s.wait(); err != nil {
		return err
	}
	if args[1] == "lost" {
		if s.err == nil {
			return fmt.Errorf("expected no answer, got: %d %s", s.status, s.answerBody)
		}
		return nil
	}
	if s.err != nil {
		return s.err
	}
	if got := strconv.Itoa(s.status); got != args[1] {
		return fmt.Errorf("answer has status %s, want %s: %s", got, args[1], s.answerBody)
	}
	if got := s.answerHeader.Get(forward.HeaderOutcome); len(args) == 3 && got != args[2] {
		return fmt.Errorf("outcome is %q, want %q: %s", got, args[2], s.answerBody)
	}
	if s.status == http.StatusOK {
		return s.checkComplete()
	}
	return nil
}

// wait waits for the end of the call.
func (s *submission) wait() error {
	select {
	case <-s.done:
		return nil
	case <-time.After(2 * callTimeout):
		return fmt.Errorf("no answer within %v", 2*callTimeout)
	}
}

// jobAnswer holds the fields of a job's answer that are checked.
type jobAnswer struct {
	Results []struct {
		Body standin.Answer `json:"body"`
	} `json:"results"`
}

// checkComplete checks that the answer holds the result of each task, in order.
func (s *submission) checkComplete() error {
	var echoes []string
	if s.path == "/v1/jobs" {
		var a jobAnswer
		if err := json.Unmarshal(s.answerBody, &a); err != nil {
			return err
		}
		for _, r := range a.Results {
			echoes = append(echoes, r.Body.Echo)
		}
	} else {
		var a standin.Answer
		if err := json.Unmarshal(s.answerBody, &a); err != nil {
			return err
		}
		echoes = append(echoes, a.Echo)
	}
	if fmt.Sprint(echoes) != fmt.Sprint(s.echoes) {
		return fmt.Errorf("answer has echoes %v, want %v", echoes, s.echoes)
	}
	return nil
}

// expectOutcome waits until the ledger, read at a hub, has the verdict for exactly
// N tasks of a submission: expect-outcome HUB NAME VERDICT N.
func (env *environment) expectOutcome(args []string) error {
	if err := checkArgCount(args, 4, "expect-outcome HUB NAME VERDICT N"); err != nil {
		return err
	}
	s, h, err := env.submission(args[1], args[0])
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
	return env.await(func() error {
		a, err := readOutcomes(h.Admin, s.jobID())
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
			return fmt.Errorf("%d tasks have the verdict %q, want %d: %+v", n, args[2], want, a.Tasks)
		}
		return nil
	})
}

// expectRecorded waits until the ledger has recorded exactly N of the tasks that
// started at the upstreams as run once: expect-recorded HUB NAME N. It takes the
// task IDs from the upstreams, for use when the answer with the job ID was lost.
func (env *environment) expectRecorded(args []string) error {
	if err := checkArgCount(args, 3, "expect-recorded HUB NAME N"); err != nil {
		return err
	}
	_, h, err := env.submission(args[1], args[0])
	if err != nil {
		return err
	}
	want, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	return env.await(func() error {
		n, err := env.countRecordedOnce(h)
		if err == nil && n != want {
			err = fmt.Errorf("%d started tasks are recorded as run once, want %d", n, want)
		}
		return err
	})
}

// countRecordedOnce returns the number of tasks that have started at an upstream
// and have the verdict "ran once" in the ledger.
func (env *environment) countRecordedOnce(h *testbed.Process) (int, error) {
	n := 0
	for _, u := range env.sys.Upstreams {
		var tasks map[string]standin.Count
		if err := testbed.GetJSON(u.HTTP, "/_counts", &tasks); err != nil {
			return 0, err
		}
		for id := range tasks {
			t, err := contract.ParseTaskID(id)
			if err != nil {
				return 0, err
			}
			a, err := readOutcomes(h.Admin, t.Job)
			if err != nil {
				return 0, err
			}
			n += ranOnce(a, t.Index)
		}
	}
	return n, nil
}

// ranOnce returns 1 if the task has the verdict "ran once", else 0.
func ranOnce(a node.OutcomesAnswer, index uint32) int {
	for _, t := range a.Tasks {
		if t.Task == index && t.Verdict == ledger.RanOnce {
			return 1
		}
	}
	return 0
}

// readOutcomes reads the outcomes of a job's tasks from a hub's ledger.
func readOutcomes(admin string, id contract.JobID) (node.OutcomesAnswer, error) {
	var a node.OutcomesAnswer
	if id == "" {
		return a, fmt.Errorf("the answer has no job ID")
	}
	err := testbed.GetJSON(admin, "/admin/outcomes/"+string(id), &a)
	return a, err
}

// expectTruth checks that an answer agrees with the upstreams: with the outcome
// "ran" each task has started, with "not-run" none has: expect-truth NAME.
func (env *environment) expectTruth(args []string) error {
	if err := checkArgCount(args, 1, "expect-truth NAME"); err != nil {
		return err
	}
	s := env.submissions[args[0]]
	if s == nil {
		return fmt.Errorf("no submission is named %q", args[0])
	}
	if err := s.wait(); err != nil {
		return err
	}
	n, err := env.startsOf(s)
	if err != nil {
		return err
	}
	outcome := s.answerHeader.Get(forward.HeaderOutcome)
	if outcome == contract.OutcomeRan.String() && n != len(s.echoes) || outcome == contract.OutcomeNotRun.String() && n != 0 {
		return fmt.Errorf("outcome is %q, but %d of %d tasks started", outcome, n, len(s.echoes))
	}
	return nil
}

// mark records the number of starts at an upstream for expectUnmoved: mark UPSTREAM.
func (env *environment) mark(args []string) error {
	return env.withUpstreamStarts(args, "mark UPSTREAM", func(name string, n int) error {
		env.markedStarts[name] = n
		return nil
	})
}

// expectUnmoved checks that there was no start at an upstream since mark was called
// for it: expect-unmoved UPSTREAM.
func (env *environment) expectUnmoved(args []string) error {
	return env.withUpstreamStarts(args, "expect-unmoved UPSTREAM", func(name string, n int) error {
		if n != env.markedStarts[name] {
			return fmt.Errorf("%s has counted %d starts since mark", name, n-env.markedStarts[name])
		}
		return nil
	})
}

// withUpstreamStarts calls f with the name of an upstream and the number of its
// starts.
func (env *environment) withUpstreamStarts(args []string, usage string, f func(string, int) error) error {
	if err := checkArgCount(args, 1, usage); err != nil {
		return err
	}
	p, err := env.process(args[0])
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
