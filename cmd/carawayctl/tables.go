package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/node"
)

// tableSet is the set of tables that a command reads or edits: routes, pools or
// both.
type tableSet struct {
	name          string
	routes, pools bool
}

var (
	bothTables  = tableSet{name: "tables", routes: true, pools: true}
	routesTable = tableSet{name: "routes", routes: true}
	poolsTable  = tableSet{name: "pools", pools: true}
)

// tablesFile is the JSON content of an operator's file. A table in the file is
// complete; a table that is not in the file is nil.
type tablesFile struct {
	Routes *[]contract.Route `json:"routes"`
	Pools  *[]contract.Pool  `json:"pools"`
}

// errDiffers means that diff found a difference.
var errDiffers = errors.New("the file differs from the version in force")

func tableCommand(c *client, t tableSet) *ffcli.Command {
	return &ffcli.Command{
		Name:       t.name,
		ShortUsage: "carawayctl " + t.name + " get|diff|apply|history",
		ShortHelp:  "show and edit the table of " + t.name,
		Subcommands: []*ffcli.Command{
			getCommand(c, t),
			diffCommand(c, t),
			applyCommand(c, t),
			historyCommand(c, t),
		},
		Exec: execGroup,
	}
}

func getCommand(c *client, t tableSet) *ffcli.Command {
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "carawayctl " + t.name + " get [NAME]",
		ShortHelp:  "show the rows in force",
		Exec:       func(ctx context.Context, args []string) error { return c.getTable(ctx, t, args) },
	}
}

func (c *client) getTable(ctx context.Context, t tableSet, names []string) error {
	var have contract.Tables
	if err := c.get(ctx, "/admin/tables", &have); err != nil {
		return err
	}
	if t.routes {
		return printRows(c, have.Routes, names, routeName, writeRoutes)
	}
	return printRows(c, have.Pools, names, poolName, writePools)
}

// printRows prints the rows with the given names, or all rows if no name is given.
func printRows[R any](c *client, rows []R, names []string, name func(R) string, write func(*tabwriter.Writer, []R)) error {
	if len(names) > 0 {
		rows = slices.DeleteFunc(rows, func(r R) bool { return !slices.Contains(names, name(r)) })
		if len(rows) == 0 {
			return fmt.Errorf("no row is named %s: leave the name out to see all", strings.Join(names, " or "))
		}
	}
	return c.print(rows, func(w *tabwriter.Writer) { write(w, rows) })
}

func writeRoutes(w *tabwriter.Writer, rows []contract.Route) {
	fmt.Fprintln(w, "ROUTE\tHOST\tPATH PREFIX\tMETHOD\tPOOL\tTIMEOUT MS\tOBJECTIVE MS\tSINCE")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", r.Name, anyIfEmpty(r.Host), r.PathPrefix, anyIfEmpty(r.Method), r.Pool, r.TimeoutMS, r.ObjectiveMS, r.Version)
	}
}

func anyIfEmpty(s string) string {
	if s == "" {
		return "*"
	}
	return s
}

func writePools(w *tabwriter.Writer, rows []contract.Pool) {
	fmt.Fprintln(w, "POOL\tPROFILE\tMAX QUEUE\tQUOTAS\tSINCE")
	for _, p := range rows {
		var quotas []string
		for _, q := range p.Quotas {
			quotas = append(quotas, fmt.Sprintf("%s=%d", q.Team, q.Slots))
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\n", p.Name, p.Profile, p.MaxQueue, strings.Join(quotas, ","), p.Version)
	}
}

func diffCommand(c *client, t tableSet) *ffcli.Command {
	fs, file := fileFlag(c, "diff")
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "carawayctl " + t.name + " diff -f FILE",
		ShortHelp:  "show what apply would change; exit code 4 if there is a change",
		FlagSet:    fs,
		Exec:       func(ctx context.Context, _ []string) error { return c.diff(ctx, t, *file) },
	}
}

// fileFlag returns a flag set with the flag -f, and the flag's value.
func fileFlag(c *client, name string) (*flag.FlagSet, *string) {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(c.errOut)
	return fs, fs.String("f", "", "JSON file with the tables; for apply and diff, - reads the standard input")
}

func (c *client) diff(ctx context.Context, t tableSet, file string) error {
	have, e, err := c.plan(ctx, t, file)
	if err != nil {
		return err
	}
	if c.format == formatJSON {
		if err := c.print(e, nil); err != nil {
			return err
		}
	} else {
		printEdit(c, have, e)
	}
	if !isEmpty(e) {
		return errDiffers
	}
	c.printMessage("no change; version %d is in force", have.Version)
	return nil
}

// plan returns the tables in force and the edit that changes them to those in the
// file.
func (c *client) plan(ctx context.Context, t tableSet, file string) (contract.Tables, contract.Edit, error) {
	var have contract.Tables
	want, err := readTables(t, file)
	if err != nil {
		return have, contract.Edit{}, err
	}
	if err := c.get(ctx, "/admin/tables", &have); err != nil {
		return have, contract.Edit{}, err
	}
	return have, diffTables(have, want), nil
}

// readTables reads the operator's file and validates it.
func readTables(t tableSet, file string) (tablesFile, error) {
	var want tablesFile
	if file == "" {
		return want, fmt.Errorf("%w: -f is empty: name the file with the tables", errUsage)
	}
	in := io.Reader(os.Stdin)
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return want, err
		}
		defer f.Close()
		in = f
	}
	dec := json.NewDecoder(in)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&want); err != nil {
		return want, fmt.Errorf("%s: %w: correct the file", file, err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return want, fmt.Errorf("%s has data after the first JSON object: keep one object", file)
	}
	return want, t.checkFile(file, want)
}

// checkFile returns an error if the file lacks a table of the command or has any
// other table.
func (t tableSet) checkFile(file string, want tablesFile) error {
	switch {
	case t.routes && want.Routes == nil:
		return fmt.Errorf("%s has no \"routes\": write them all, or [] to delete all", file)
	case t.pools && want.Pools == nil:
		return fmt.Errorf("%s has no \"pools\": write them all, or [] to delete all", file)
	case want.Routes != nil && !t.routes, want.Pools != nil && !t.pools:
		return fmt.Errorf("%s has more than %q: remove the other table, or use carawayctl apply for both tables", file, t.name)
	}
	return nil
}

func historyCommand(c *client, t tableSet) *ffcli.Command {
	return &ffcli.Command{
		Name:       "history",
		ShortUsage: "carawayctl " + t.name + " history",
		ShortHelp:  "show the changes that took effect at the host since it started",
		Exec:       func(ctx context.Context, _ []string) error { return c.history(ctx, t) },
	}
}

func (c *client) history(ctx context.Context, t tableSet) error {
	var changes []node.Change
	if err := c.get(ctx, "/admin/history", &changes); err != nil {
		return err
	}
	changes = slices.DeleteFunc(changes, func(ch node.Change) bool { return len(t.putNames(ch))+len(t.deletedNames(ch)) == 0 })
	return c.print(changes, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "VERSION\tFROM\tIN FORCE AT\tPUT\tDELETED")
		for _, ch := range changes {
			fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\n", ch.Version, ch.From, ch.At.Format("2006-01-02T15:04:05.000Z07:00"), strings.Join(t.putNames(ch), ","), strings.Join(t.deletedNames(ch), ","))
		}
	})
}

// putNames returns the names of the added or changed routes, if t contains the
// routes, or else of the added or changed pools.
func (t tableSet) putNames(ch node.Change) []string {
	if t.routes {
		return ch.PutRoutes
	}
	return ch.PutPools
}

// deletedNames returns the names of the deleted routes, if t contains the routes,
// or else of the deleted pools.
func (t tableSet) deletedNames(ch node.Change) []string {
	if t.routes {
		return ch.DeletedRoutes
	}
	return ch.DeletedPools
}
