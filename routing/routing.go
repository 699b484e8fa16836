// Package routing matches requests to routes. Of several matching routes, the most
// specific one is used: a route with a host takes precedence over one without,
// then a longer path prefix over a shorter one, then a route with a method over
// one without. Of equally specific routes, the first in the table is used.
package routing

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Router is a routes table in matching order. It is immutable and safe for
// concurrent use.
type Router struct {
	routes []contract.Route // most specific first
}

// New returns a router for the routes. It does not modify the slice.
func New(routes []contract.Route) *Router {
	sorted := slices.Clone(routes)
	slices.SortStableFunc(sorted, compareSpecificity)
	return &Router{routes: sorted}
}

// compareSpecificity returns a negative number if a is more specific than b, a
// positive one if it is less specific, and 0 if they are equally specific.
func compareSpecificity(a, b contract.Route) int {
	return cmp.Or(
		-cmp.Compare(boolInt(a.Host != ""), boolInt(b.Host != "")),
		-cmp.Compare(len(a.PathPrefix), len(b.PathPrefix)),
		-cmp.Compare(boolInt(a.Method != ""), boolInt(b.Method != "")),
	)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Match returns the most specific route that matches the request, or false if none
// does.
func (r *Router) Match(req *http.Request) (contract.Route, bool) {
	host := requestHost(req)
	for _, route := range r.routes {
		if matches(route, host, req.Method, req.URL.Path) {
			return route, true
		}
	}
	return contract.Route{}, false
}

func matches(route contract.Route, host, method, path string) bool {
	if route.Host != "" && !strings.EqualFold(route.Host, host) {
		return false
	}
	if route.Method != "" && route.Method != method {
		return false
	}
	return hasPathPrefix(path, route.PathPrefix)
}

// hasPathPrefix reports whether path begins with prefix, counting whole path
// segments only: /cards is a prefix of /cards/7, but not of /cardstock.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/")
}

// requestHost returns the request's host without the port.
func requestHost(req *http.Request) string {
	if h, _, err := net.SplitHostPort(req.Host); err == nil {
		return h
	}
	return req.Host
}
