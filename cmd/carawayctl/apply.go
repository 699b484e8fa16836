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

// errNotInForce means that some process does not have the version in force yet.
var errNotInForce = errors.New("not in force everywhere")

// applyOptions are the flags of apply.
type applyOptions struct {
	file      string
	wait      bool
	waitLimit time.Duration
}

// defaultWaitLimit is the default value of -wait-limit.
const defaultWaitLimit = 10 * time.Second

func applyCommand(c *client, t tableSet) *ffcli.Command {
	var o applyOptions
	fs, file := fileFlag(c, "apply")
	fs.BoolVar(&o.wait, "wait", false, "wait until the version is in force on every process that the host knows of")
	fs.DurationVar(&o.waitLimit, "wait-limit", defaultWaitLimit, "how long -wait waits")
	usage := "carawayctl " + t.name + " apply -f FILE [-wait]"
	if t == bothTables {
		usage = "carawayctl apply -f FILE [-wait]"
	}
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: usage,
		ShortHelp:  "change the " + t.name + " to those in the file",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			o.file = *file
			return c.apply(ctx, t, o)
		},
	}
}

// ApplyResult is the output of apply with -o json.
type ApplyResult struct {
	Edit contract.Edit `json:"edit"`
	// Changed reports whether the file differed from the tables in force.
	Changed bool `json:"changed"`
	// Version is the version that the edit made, or the one in force if there was
	// no change.
	Version contract.Version `json:"version"`
	// InForce is the number of processes on which Version is in force, out of
	// Processes. Both are zero without -wait.
	InForce   int `json:"in_force,omitempty"`
	Processes int `json:"processes,omitempty"`
}

func (c *client) apply(ctx context.Context, t tableSet, o applyOptions) error {
	have, e, err := c.plan(ctx, t, o.file)
	if err != nil {
		return err
	}
	res := ApplyResult{Edit: e, Changed: !isEmpty(e), Version: have.Version}
	if res.Changed {
		printEdit(c, have, e)
		if res.Version, err = c.edit(ctx, e); err != nil {
			return c.explainConflict(ctx, e, err)
		}
		c.printMessage("version %d accepted", res.Version)
	} else {
		c.printMessage("no change; version %d is in force", res.Version)
	}
	if o.wait {
		err = c.awaitInForce(ctx, o.waitLimit, &res)
	}
	if c.format == formatJSON {
		return errors.Join(err, c.print(res, nil))
	}
	return err
}

// editAttempts is the maximum number of times an edit is sent.
const editAttempts = 3

// editRetryDelay is the delay before an edit is sent again.
const editRetryDelay = 300 * time.Millisecond

// edit sends an edit and returns the version that it made. If there is no answer,
// it sends the edit again with the same ID, to the hosts in turn. An edit that was
// already accepted is not applied twice: it gets the same answer again.
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
			sleep(ctx, editRetryDelay)
		}
	}
	return 0, fmt.Errorf("edit %s may or may not be accepted after %d attempts: %w: then run the same apply again, which changes nothing if the edit was accepted", e.ID, editAttempts, err)
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// explainConflict adds the version in force, and the rows changed since the
// edit's base version, to a conflict error. It returns any other error unchanged.
func (c *client) explainConflict(ctx context.Context, e contract.Edit, err error) error {
	if !errors.Is(err, errConflict) {
		return err
	}
	var now contract.Tables
	if getErr := c.get(ctx, "/admin/tables", &now); getErr != nil {
		return err
	}
	return fmt.Errorf("%w\nversion %d is in force; changed after version %d: %s\nrun diff again and check whether the edit is still correct", err, now.Version, e.Base, rowsChangedSince(now, e.Base))
}

// rowsChangedSince lists the rows of t that are newer than base. It cannot list
// the rows that were deleted since base, because t does not contain them.
func rowsChangedSince(t contract.Tables, base contract.Version) string {
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
		return "no existing row (rows were deleted, or this host does not have the version yet)"
	}
	return strings.Join(rows, ", ")
}

// Bounds of the interval between polls of the versions in force. Each poll
// queries every process.
const (
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
)

// awaitInForce polls until the version is in force on every process that the host
// knows of. It returns errNotInForce if that takes longer than limit.
func (c *client) awaitInForce(ctx context.Context, limit time.Duration, res *ApplyResult) error {
	start := time.Now()
	for poll := minPollInterval; ; poll = min(2*poll, maxPollInterval) {
		var all []node.ProcessStatus
		if err := c.get(ctx, "/admin/processes", &all); err != nil {
			return err
		}
		behind := processesBehind(all, res.Version)
		res.Processes = len(all)
		res.InForce = len(all) - len(behind)
		if len(behind) == 0 {
			c.printMessage("version %d is in force on %d of %d processes after %v", res.Version, res.InForce, len(all), time.Since(start).Round(time.Millisecond))
			return nil
		}
		if time.Since(start) >= limit || ctx.Err() != nil {
			return fmt.Errorf("%w: version %d is in force on %d of %d processes after %v; not on %s: check that they run and are linked", errNotInForce, res.Version, res.InForce, len(all), limit, strings.Join(behind, ", "))
		}
		sleep(ctx, poll)
	}
}

// processesBehind describes the processes that are not linked or have a version
// before v.
func processesBehind(all []node.ProcessStatus, v contract.Version) []string {
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
