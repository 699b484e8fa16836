package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/node"
)

// errNotYet says that a version is not in force everywhere.
var errNotYet = errors.New("not in force everywhere")

// applyOptions are the flags of apply.
type applyOptions struct {
	file  string
	wait  bool
	limit time.Duration
}

// defaultWaitLimit is the default of -wait-limit.
const defaultWaitLimit = 10 * time.Second

func applyCommand(c *client, t table) *ffcli.Command {
	var o applyOptions
	fs, file := fileFlag(c, "apply")
	fs.BoolVar(&o.wait, "wait", false, "wait until the version is in force on every process that the host knows")
	fs.DurationVar(&o.limit, "wait-limit", defaultWaitLimit, "how long -wait waits")
	usage := "carawayctl " + t.name + " apply -f FILE [-wait]"
	if t == bothTables {
		usage = "carawayctl apply -f FILE [-wait]"
	}
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: usage,
		ShortHelp:  "make the " + t.name + " as the file says",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			o.file = *file
			return c.apply(ctx, t, o)
		},
	}
}

// ApplyResult is what apply prints with -o json.
type ApplyResult struct {
	Edit    contract.Edit    `json:"edit"`
	Changed bool             `json:"changed"`
	Version contract.Version `json:"version"`
	// InForce and Processes are counted with -wait only.
	InForce   int `json:"in_force,omitempty"`
	Processes int `json:"processes,omitempty"`
}

func (c *client) apply(ctx context.Context, t table, o applyOptions) error {
	have, e, err := c.plan(ctx, t, o.file)
	if err != nil {
		return err
	}
	res := ApplyResult{Edit: e, Changed: !empty(e), Version: have.Version}
	if res.Changed {
		printEdit(c, have, e)
		if res.Version, err = c.edit(ctx, e); err != nil {
			return c.explainConflict(ctx, e, err)
		}
		c.say("version %d accepted", res.Version)
	} else {
		c.say("no change; version %d is in force", res.Version)
	}
	if o.wait {
		err = c.awaitInForce(ctx, o.limit, &res)
	}
	if c.format == formatJSON {
		return errors.Join(err, c.print(res, nil))
	}
	return err
}

// editAttempts bounds how often an edit is sent.
const editAttempts = 3

// editPause is the wait before an edit is sent again.
const editPause = 300 * time.Millisecond

// edit sends an edit. Where the answer is lost it sends the same edit ID
// again, to each host in turn: an edit that was accepted gets its first answer.
func (c *client) edit(ctx context.Context, e contract.Edit) (contract.Version, error) {
	hosts := c.hosts()
	var err error
	for i := range editAttempts {
		var answer node.EditAnswer
		host := hosts[i%len(hosts)]
		err = c.postTo(ctx, host, "/admin/edits", e, &answer)
		if !errors.Is(err, errNoAnswer) {
			return answer.Version, err
		}
		if i+1 < editAttempts {
			fmt.Fprintf(c.errOut, "%v; sending edit %s again\n", err, e.ID)
			pause(ctx, editPause)
		}
	}
	return 0, fmt.Errorf("edit %s may or may not be accepted after %d attempts: %w: then run the same apply again, it changes nothing where the edit was accepted", e.ID, editAttempts, err)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// explainConflict adds to a conflict the version in force and its rows.
func (c *client) explainConflict(ctx context.Context, e contract.Edit, err error) error {
	if !errors.Is(err, errConflict) {
		return err
	}
	var now contract.Tables
	if getErr := c.get(ctx, "/admin/tables", &now); getErr != nil {
		return err
	}
	return fmt.Errorf("%w\nversion %d is in force; changed after version %d: %s\nrun diff again and see whether the edit still holds", err, now.Version, e.Base, changedSince(now, e.Base))
}

func changedSince(t contract.Tables, base contract.Version) string {
	var rows []string
	for _, r := range t.Routes {
		if r.Version > base {
			rows = append(rows, "route "+r.Name)
		}
	}
	for _, p := range t.Pools {
		if p.Version > base {
			rows = append(rows, "pool "+p.Name)
		}
	}
	if len(rows) == 0 {
		return "no row that is left (rows were deleted, or this host is not there yet)"
	}
	return strings.Join(rows, ", ")
}

// Bounds of the pause between two looks at the versions in force: each look
// asks every process.
const (
	minWaitPoll = 50 * time.Millisecond
	maxWaitPoll = time.Second
)

// awaitInForce waits until every process that the host knows has the version.
func (c *client) awaitInForce(ctx context.Context, limit time.Duration, res *ApplyResult) error {
	began := time.Now()
	for poll := minWaitPoll; ; poll = min(2*poll, maxWaitPoll) {
		var all []node.ProcessStatus
		if err := c.get(ctx, "/admin/processes", &all); err != nil {
			return err
		}
		behind := behindOf(all, res.Version)
		res.Processes = len(all)
		res.InForce = len(all) - len(behind)
		if len(behind) == 0 {
			c.say("version %d is in force on %d of %d processes after %v", res.Version, res.InForce, len(all), time.Since(began).Round(time.Millisecond))
			return nil
		}
		if time.Since(began) >= limit || ctx.Err() != nil {
			return fmt.Errorf("%w: version %d is in force on %d of %d processes after %v; not on %s: check that they run and are linked", errNotYet, res.Version, res.InForce, len(all), limit, strings.Join(behind, ", "))
		}
		pause(ctx, poll)
	}
}

func behindOf(all []node.ProcessStatus, v contract.Version) []string {
	var out []string
	for _, p := range all {
		switch {
		case !p.Linked:
			out = append(out, string(p.Host)+" (not linked)")
		case p.Version < v:
			out = append(out, fmt.Sprintf("%s (version %d)", p.Host, p.Version))
		}
	}
	return out
}
