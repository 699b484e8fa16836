package main

import (
	"crypto/rand"
	"encoding/json"
	"reflect"

	"github.com/carawaylanding/carawaylanding/contract"
)

// diffTables returns the edit that changes have to want. A table that is nil in
// want is not changed.
func diffTables(have contract.Tables, want tablesFile) contract.Edit {
	e := contract.Edit{ID: contract.EditID(rand.Text()), Base: have.Version}
	if want.Routes != nil {
		e.PutRoutes, e.DeleteRoutes = diffRows(have.Routes, *want.Routes, routeName, routeWithoutVersion)
	}
	if want.Pools != nil {
		e.PutPools, e.DeletePools = diffRows(have.Pools, *want.Pools, poolName, poolWithoutVersion)
	}
	return e
}

func routeName(r contract.Route) string { return r.Name }

func poolName(p contract.Pool) string { return p.Name }

// routeWithoutVersion returns the row with the version cleared, for comparison
// with a row of a file, which has none.
func routeWithoutVersion(r contract.Route) contract.Route {
	r.Version = 0
	return r
}

// poolWithoutVersion returns the row with the version cleared.
func poolWithoutVersion(p contract.Pool) contract.Pool {
	p.Version = 0
	return p
}

// diffRows returns the rows to put and the names of the rows to delete in order to
// change have to want.
func diffRows[R any](have, want []R, name func(R) string, withoutVersion func(R) R) (put []R, remove []string) {
	old := make(map[string]R, len(have))
	for _, r := range have {
		old[name(r)] = withoutVersion(r)
	}
	for _, r := range want {
		r = withoutVersion(r)
		if before, ok := old[name(r)]; !ok || !reflect.DeepEqual(before, r) {
			put = append(put, r)
		}
		delete(old, name(r))
	}
	for _, r := range have {
		if _, unwanted := old[name(r)]; unwanted {
			remove = append(remove, name(r))
		}
	}
	return put, remove
}

// isEmpty reports whether the edit changes nothing.
func isEmpty(e contract.Edit) bool {
	return len(e.PutRoutes)+len(e.PutPools)+len(e.DeleteRoutes)+len(e.DeletePools) == 0
}

// printEdit prints a line for each row of the edit: + for a new row, ~ for a
// changed row, - for a deleted row.
func printEdit(c *client, have contract.Tables, e contract.Edit) {
	for _, r := range e.PutRoutes {
		before, ok := have.Route(r.Name)
		printPut(c, "route", routeWithoutVersion(before), r, ok)
	}
	for _, p := range e.PutPools {
		before, ok := have.Pool(p.Name)
		printPut(c, "pool", poolWithoutVersion(before), p, ok)
	}
	for _, name := range e.DeleteRoutes {
		c.printMessage("- route %s", name)
	}
	for _, name := range e.DeletePools {
		c.printMessage("- pool %s", name)
	}
}

func printPut(c *client, kind string, before, after any, existed bool) {
	if !existed {
		c.printMessage("+ %s %s", kind, compactJSON(after))
		return
	}
	c.printMessage("~ %s %s", kind, compactJSON(after))
	c.printMessage("  was %s", compactJSON(before))
}

// compactJSON returns the row as JSON on a single line.
func compactJSON(row any) string {
	raw, err := json.Marshal(row)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
