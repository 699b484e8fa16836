// Package routing matches requests to routes. Of the routes that match, the
// most specific wins: one with a host before one without, then the longer
// path prefix, then one with a method before one without.
package routing

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Router is a compiled routes table. It is immutable.
type Router struct {
	routes []contract.Route // most specific first
}

// New compiles the routes.
func New(routes []contract.Route) *Router {
	sorted := slices.Clone(routes)
	slices.SortStableFunc(sorted, moreSpecific)
	return &Router{routes: sorted}
}

func moreSpecific(a, b contract.Route) int {
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

// Match returns the route of a request.
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

// hasPathPrefix reports whether prefix ends at a segment's end of path, so
// that /cards does not match /cardstock.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/")
}

func requestHost(req *http.Request) string {
	if h, _, err := net.SplitHostPort(req.Host); err == nil {
		return h
	}
	return req.Host
}
