package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/node"
)

// tablesFile is the form of an operator's file: the whole of both tables.
type tablesFile struct {
	Routes []contract.Route `json:"routes"`
	Pools  []contract.Pool  `json:"pools"`
}

func applyCommand(c *client) *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	file := fs.String("f", "", "file with both tables as JSON")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "carawayctl apply -f FILE",
		ShortHelp:  "make both tables as the file says",
		FlagSet:    fs,
		Exec:       func(ctx context.Context, _ []string) error { return c.apply(ctx, *file) },
	}
}

func (c *client) apply(ctx context.Context, file string) error {
	if file == "" {
		return errors.New("-f is empty: name the file with the tables")
	}
	want, err := readTables(file)
	if err != nil {
		return err
	}
	var have contract.Tables
	if err := c.get(ctx, "/admin/tables", &have); err != nil {
		return err
	}
	e := diff(have, want)
	if empty(e) {
		fmt.Fprintf(c.out, "no change; version %d is in force\n", have.Version)
		return nil
	}
	printEdit(c, e)
	var answer node.EditAnswer
	if err := c.post(ctx, "/admin/edits", e, &answer); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "version %d accepted\n", answer.Version)
	return nil
}

func readTables(file string) (tablesFile, error) {
	var t tablesFile
	f, err := os.Open(file)
	if err != nil {
		return t, err
	}
	defer f.Close()
	dec := json.NewDecoder(f)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&t); err != nil {
		return t, fmt.Errorf("%s: %w: correct the file", file, err)
	}
	return t, nil
}

// diff returns the edit that turns have into want.
func diff(have contract.Tables, want tablesFile) contract.Edit {
	e := contract.Edit{ID: contract.EditID(rand.Text()), Base: have.Version}
	e.PutRoutes, e.DeleteRoutes = diffRows(have.Routes, want.Routes, routeKey)
	e.PutPools, e.DeletePools = diffRows(have.Pools, want.Pools, poolKey)
	return e
}

// routeKey returns the row's name, and the row without its version.
func routeKey(r contract.Route) (string, contract.Route) {
	r.Version = 0
	return r.Name, r
}

// poolKey returns the row's name, and the row without its version.
func poolKey(p contract.Pool) (string, contract.Pool) {
	p.Version = 0
	return p.Name, p
}

func diffRows[R any](have, want []R, key func(R) (string, R)) (put []R, remove []string) {
	old := make(map[string]R, len(have))
	for _, r := range have {
		name, row := key(r)
		old[name] = row
	}
	for _, r := range want {
		name, row := key(r)
		if before, ok := old[name]; !ok || !reflect.DeepEqual(before, row) {
			put = append(put, row)
		}
		delete(old, name)
	}
	for _, r := range have {
		name, _ := key(r)
		if _, left := old[name]; left {
			remove = append(remove, name)
		}
	}
	return put, remove
}

func empty(e contract.Edit) bool {
	return len(e.PutRoutes)+len(e.PutPools)+len(e.DeleteRoutes)+len(e.DeletePools) == 0
}

func printEdit(c *client, e contract.Edit) {
	for _, r := range e.PutRoutes {
		fmt.Fprintf(c.out, "+ route %s: %s%s %s -> pool %s\n", r.Name, r.Host, r.PathPrefix, r.Method, r.Pool)
	}
	for _, p := range e.PutPools {
		fmt.Fprintf(c.out, "+ pool %s\n", p.Name)
	}
	for _, name := range e.DeleteRoutes {
		fmt.Fprintf(c.out, "- route %s\n", name)
	}
	for _, name := range e.DeletePools {
		fmt.Fprintf(c.out, "- pool %s\n", name)
	}
}
