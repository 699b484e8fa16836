package main

import (
	"crypto/rand"
	"encoding/json"
	"reflect"

	"github.com/carawaylanding/carawaylanding/contract"
)

// diffTables returns the edit that turns have into want; a table that want
// does not hold stays as it is.
func diffTables(have contract.Tables, want tablesFile) contract.Edit {
	e := contract.Edit{ID: contract.EditID(rand.Text()), Base: have.Version}
	if want.Routes != nil {
		e.PutRoutes, e.DeleteRoutes = diffRows(have.Routes, *want.Routes, routeName, plainRoute)
	}
	if want.Pools != nil {
		e.PutPools, e.DeletePools = diffRows(have.Pools, *want.Pools, poolName, plainPool)
	}
	return e
}

func routeName(r contract.Route) string { return r.Name }

func poolName(p contract.Pool) string { return p.Name }

// plainRoute returns the row without its version.
func plainRoute(r contract.Route) contract.Route {
	r.Version = 0
	return r
}

// plainPool returns the row without its version.
func plainPool(p contract.Pool) contract.Pool {
	p.Version = 0
	return p
}

func diffRows[R any](have, want []R, name func(R) string, plain func(R) R) (put []R, remove []string) {
	old := make(map[string]R, len(have))
	for _, r := range have {
		old[name(r)] = plain(r)
	}
	for _, r := range want {
		r = plain(r)
		if before, ok := old[name(r)]; !ok || !reflect.DeepEqual(before, r) {
			put = append(put, r)
		}
		delete(old, name(r))
	}
	for _, r := range have {
		if _, left := old[name(r)]; left {
			remove = append(remove, name(r))
		}
	}
	return put, remove
}

func empty(e contract.Edit) bool {
	return len(e.PutRoutes)+len(e.PutPools)+len(e.DeleteRoutes)+len(e.DeletePools) == 0
}

// printEdit shows the edit line by line: + is new, ~ is changed, - is deleted.
func printEdit(c *client, have contract.Tables, e contract.Edit) {
	for _, r := range e.PutRoutes {
		before, ok := have.Route(r.Name)
		printPut(c, "route", plainRoute(before), r, ok)
	}
	for _, p := range e.PutPools {
		before, ok := have.Pool(p.Name)
		printPut(c, "pool", plainPool(before), p, ok)
	}
	for _, name := range e.DeleteRoutes {
		c.say("- route %s", name)
	}
	for _, name := range e.DeletePools {
		c.say("- pool %s", name)
	}
}

func printPut(c *client, what string, before, after any, existed bool) {
	if !existed {
		c.say("+ %s %s", what, oneLine(after))
		return
	}
	c.say("~ %s %s", what, oneLine(after))
	c.say("  was %s", oneLine(before))
}

func oneLine(row any) string {
	raw, err := json.Marshal(row)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
