package main

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/ledger"
	"github.com/carawaylanding/carawaylanding/node"
)

func outcomeCommand(c *client) *ffcli.Command {
	return &ffcli.Command{
		Name:       "outcome",
		ShortUsage: "carawayctl outcome JOB [TASK]",
		ShortHelp:  "show the verdict on each task of a job: ran once, ran, never ran or unknown",
		Exec:       c.outcome,
	}
}

func (c *client) outcome(ctx context.Context, args []string) error {
	if len(args) == 0 || len(args) > 2 {
		return fmt.Errorf("%w: give JOB, or JOB and TASK: the job's ID is in the Caraway-Job-Id field of its answer", errUsage)
	}
	var index uint64
	if len(args) == 2 {
		var err error
		if index, err = strconv.ParseUint(args[1], 10, 32); err != nil {
			return fmt.Errorf("%w: TASK %q is not a number: give the task's index in the job, from 0", errUsage, args[1])
		}
	}
	var answer node.OutcomesAnswer
	if err := c.get(ctx, "/admin/outcomes/"+url.PathEscape(args[0]), &answer); err != nil {
		return err
	}
	if len(args) == 2 {
		answer.Tasks = selectTask(answer.Tasks, uint32(index))
	}
	return c.print(answer, func(w *tabwriter.Writer) { printOutcomes(w, answer.Tasks) })
}

// selectTask returns the outcome of one task. The outcome is unknown if the ledger
// has no record of the task.
func selectTask(tasks []node.TaskOutcome, index uint32) []node.TaskOutcome {
	for _, t := range tasks {
		if t.Task == index {
			return []node.TaskOutcome{t}
		}
	}
	return []node.TaskOutcome{{Task: index, Verdict: ledger.Unknown}}
}

func printOutcomes(w *tabwriter.Writer, tasks []node.TaskOutcome) {
	if len(tasks) == 0 {
		fmt.Fprintln(w, "unknown: the ledger has no record of this job: it is still running, its records were lost before the first sync, or they have expired")
		return
	}
	fmt.Fprintln(w, "TASK\tVERDICT\tATTEMPTS\tSTATUS\tWORKER\tINCARNATION\tWHEN\tENTRY\tTEAM\tREASON")
	for _, t := range tasks {
		if len(t.Records) == 0 {
			fmt.Fprintf(w, "%d\t%s\t\t\t\t\t\t\t\tno record\n", t.Task, t.Verdict)
		}
		for _, r := range t.Records {
			printRecord(w, t, r)
		}
	}
}

func printRecord(w *tabwriter.Writer, t node.TaskOutcome, r contract.OutcomeRecord) {
	verdict := string(t.Verdict)
	if t.Conflict {
		verdict += ", in conflict: " + r.Outcome.String()
	}
	fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%s\t%x\t%s\t%s\t%s\t%s\n", t.Task, verdict, r.Attempt, r.Status,
		r.Worker, uint64(r.Incarnation), r.At.Format(time.RFC3339Nano), r.Entry, r.Team, r.Reason)
}
