package contract

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// Route assigns matching requests to a pool. A request matches a route if its
// host, path and method match; an empty Host or Method matches any.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path_prefix"`
	Method     string `json:"method,omitempty"`
	// Pool is the name of the pool that serves the requests.
	Pool string `json:"pool"`
	// Idempotent allows retries of the route's requests, whatever their method.
	Idempotent bool `json:"idempotent,omitempty"`
	// NonIdempotent forbids retries of the route's requests, whatever their
	// method.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// TimeoutMS limits the run time of one start, in milliseconds. Zero means that
	// only the request's deadline applies.
	TimeoutMS int `json:"timeout_ms,omitempty"`
	// ObjectiveMS is the objective for the time that an answer takes beyond the
	// work itself, in milliseconds; zero means none.
	ObjectiveMS int `json:"objective_ms,omitempty"`
	// Version is the tables version in which the row last changed.
	Version Version `json:"version,omitempty"`
}

// Timeout returns TimeoutMS as a duration.
func (r Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMS) * time.Millisecond
}

// Profile sets a pool's trade-off between response time and the number of
// messages.
type Profile string

// The profiles of a pool.
const (
	// ProfileResponse favours short response times over few messages.
	ProfileResponse Profile = "response"
	// ProfileMessages favours few messages over short response times.
	ProfileMessages Profile = "messages"
)

// Pool is a set of upstreams that can serve the same requests. An upstream names
// its pools when it announces itself.
type Pool struct {
	Name string `json:"name"`
	// Profile is the pool's trade-off; empty means ProfileResponse.
	Profile Profile `json:"profile,omitempty"`
	// MaxQueue is the maximum number of tasks queued at one entry; zero means the
	// default.
	MaxQueue int `json:"max_queue,omitempty"`
	// Quotas limits the slots of the pool that each team may use at once.
	Quotas []Quota `json:"quotas,omitempty"`
	// Version is the tables version in which the row last changed.
	Version Version `json:"version,omitempty"`
}

// Quota is the maximum number of slots that one team may use in a pool.
type Quota struct {
	Team  string `json:"team"`
	Slots int    `json:"slots"`
}

// Tables holds the routes and pools tables as of one version, each sorted by
// name.
type Tables struct {
	Version Version `json:"version"`
	Routes  []Route `json:"routes"`
	Pools   []Pool  `json:"pools"`
	// Removals holds the rows removed after version RemovalsFrom, oldest first. A
	// process whose version is lower than RemovalsFrom needs all rows instead of a
	// delta.
	Removals     []Removal `json:"-"`
	RemovalsFrom Version   `json:"-"`
	// Group is the set of control hosts.
	Group Group `json:"group"`
}

// Route returns the named route, and whether it exists.
func (t *Tables) Route(name string) (Route, bool) {
	for _, r := range t.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}

// Pool returns the named pool, and whether it exists.
func (t *Tables) Pool(name string) (Pool, bool) {
	for _, p := range t.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Clone returns a copy that shares no slice with t.
func (t *Tables) Clone() Tables {
	c := *t
	c.Routes = slices.Clone(t.Routes)
	c.Pools = slices.Clone(t.Pools)
	c.Removals = slices.Clone(t.Removals)
	c.Group = t.Group.Clone()
	for i := range c.Pools {
		c.Pools[i].Quotas = slices.Clone(c.Pools[i].Quotas)
	}
	return c
}

// Edit puts or deletes rows of the routes and pools tables. It is valid only for
// the tables of version Base.
type Edit struct {
	ID           EditID   `json:"id"`
	Base         Version  `json:"base"`
	PutRoutes    []Route  `json:"put_routes,omitempty"`
	PutPools     []Pool   `json:"put_pools,omitempty"`
	DeleteRoutes []string `json:"delete_routes,omitempty"`
	DeletePools  []string `json:"delete_pools,omitempty"`
	// Floor is a lower bound: the new version is higher than Floor. A restore sets
	// it if the control hosts have lost the versions up to Floor.
	Floor Version `json:"floor,omitempty"`
}

// Apply returns the tables after the edit, or an ErrInvalidTables if they would be
// invalid. It does not check Base, which the consensus on the edit does.
func (t *Tables) Apply(e Edit) (Tables, error) {
	next := t.Clone()
	next.Version = max(t.Version, e.Floor) + 1
	next.deleteRows(e)
	for _, r := range e.PutRoutes {
		r.Version = next.Version
		next.putRoute(r)
	}
	for _, p := range e.PutPools {
		p.Version = next.Version
		next.putPool(p)
	}
	if err := next.Validate(); err != nil {
		return Tables{}, err
	}
	return next, nil
}

func (t *Tables) putRoute(r Route) {
	i, found := slices.BinarySearchFunc(t.Routes, r.Name, func(a Route, name string) int { return strings.Compare(a.Name, name) })
	if found {
		t.Routes[i] = r
		return
	}
	t.Routes = slices.Insert(t.Routes, i, r)
}

func (t *Tables) putPool(p Pool) {
	i, found := slices.BinarySearchFunc(t.Pools, p.Name, func(a Pool, name string) int { return strings.Compare(a.Name, name) })
	if found {
		t.Pools[i] = p
		return
	}
	t.Pools = slices.Insert(t.Pools, i, p)
}

// Validate returns nil if the tables are valid. Otherwise it returns an
// ErrInvalidTables for the first fault found, with a message that says how to
// correct it.
func (t *Tables) Validate() error {
	for _, p := range t.Pools {
		if err := p.validate(); err != nil {
			return err
		}
	}
	seen := make(map[string]string, len(t.Routes))
	for _, r := range t.Routes {
		if err := r.validate(); err != nil {
			return err
		}
		if _, ok := t.Pool(r.Pool); !ok {
			return ErrInvalidTables.With("route %q names pool %q, which does not exist: put the pool in the same edit, or name another", r.Name, r.Pool)
		}
		match := r.Host + " " + r.Method + " " + r.PathPrefix
		if other, ok := seen[match]; ok {
			return ErrInvalidTables.With("routes %q and %q match the same requests: change the host, path_prefix or method of one", other, r.Name)
		}
		seen[match] = r.Name
	}
	return nil
}

func (r Route) validate() error {
	if r.Name == "" {
		return ErrInvalidTables.With("a route has no name: name it")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return ErrInvalidTables.With("route %q: path_prefix %q does not begin with /: add the slash", r.Name, r.PathPrefix)
	}
	if r.Idempotent && r.NonIdempotent {
		return ErrInvalidTables.With("route %q is both idempotent and non_idempotent: keep one", r.Name)
	}
	if r.TimeoutMS < 0 || r.ObjectiveMS < 0 {
		return ErrInvalidTables.With("route %q: timeout_ms or objective_ms is negative: give zero or more", r.Name)
	}
	if r.Method != strings.ToUpper(r.Method) {
		return ErrInvalidTables.With("route %q: method %q is not in capitals: write %s", r.Name, r.Method, strings.ToUpper(r.Method))
	}
	return nil
}

func (p Pool) validate() error {
	if p.Name == "" {
		return ErrInvalidTables.With("a pool has no name: name it")
	}
	switch p.Profile {
	case "", ProfileResponse, ProfileMessages:
	default:
		return ErrInvalidTables.With("pool %q: profile %q is not known: give %q or %q", p.Name, p.Profile, ProfileResponse, ProfileMessages)
	}
	if p.MaxQueue < 0 {
		return ErrInvalidTables.With("pool %q: max_queue is negative: give zero or more", p.Name)
	}
	for _, q := range p.Quotas {
		if q.Team == "" || q.Slots < 0 {
			return ErrInvalidTables.With("pool %q: a quota has no team or negative slots: name the team and give zero or more slots", p.Name)
		}
	}
	return nil
}

// Retryable reports whether a request of the method may be started again after an
// attempt that may have run.
func (r Route) Retryable(method string) bool {
	if r.NonIdempotent {
		return false
	}
	if r.Idempotent {
		return true
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
