package contract

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// Route says where one kind of request goes. A request matches a route when
// its host, path and method do; an empty Host or Method matches any.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path_prefix"`
	Method     string `json:"method,omitempty"`
	// Pool is the name of the pool that serves the route.
	Pool string `json:"pool"`
	// Idempotent lets requests of the route be retried whatever their method.
	Idempotent bool `json:"idempotent,omitempty"`
	// NonIdempotent forbids retries whatever the method.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// TimeoutMS bounds one start in milliseconds; zero means the deadline of
	// the request alone.
	TimeoutMS int `json:"timeout_ms,omitempty"`
	// ObjectiveMS is the objective for the lag of an answer behind its work,
	// in milliseconds; zero means none.
	ObjectiveMS int `json:"objective_ms,omitempty"`
	// Version is the edit that last changed the row.
	Version Version `json:"version,omitempty"`
}

// Timeout returns TimeoutMS as a duration.
func (r Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMS) * time.Millisecond
}

// Profile weighs a pool's two measures against each other.
type Profile string

// The profiles of a pool.
const (
	// ProfileResponse prefers response time to fewer messages.
	ProfileResponse Profile = "response"
	// ProfileMessages prefers fewer messages to response time.
	ProfileMessages Profile = "messages"
)

// Pool groups the upstreams that can serve a kind of request. Upstreams name
// the pools that they belong to when they announce themselves.
type Pool struct {
	Name string `json:"name"`
	// Profile is ProfileResponse where empty.
	Profile Profile `json:"profile,omitempty"`
	// MaxQueue bounds the tasks that wait in one entry; zero means the default.
	MaxQueue int `json:"max_queue,omitempty"`
	// Quotas bounds the slots that each team may use at once in the pool.
	Quotas []Quota `json:"quotas,omitempty"`
	// Version is the edit that last changed the row.
	Version Version `json:"version,omitempty"`
}

// Quota bounds one team's use of a pool.
type Quota struct {
	Team  string `json:"team"`
	Slots int    `json:"slots"`
}

// Tables are the two tables as of one version, each sorted by name.
type Tables struct {
	Version Version `json:"version"`
	Routes  []Route `json:"routes"`
	Pools   []Pool  `json:"pools"`
	// Removals are the last rows removed, oldest first. They reach back to
	// RemovalsFrom: a process at an older version needs all rows.
	Removals     []Removal `json:"-"`
	RemovalsFrom Version   `json:"-"`
	// Group are the control hosts.
	Group Group `json:"group"`
}

// Route returns the named route.
func (t *Tables) Route(name string) (Route, bool) {
	for _, r := range t.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}

// Pool returns the named pool.
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

// Edit replaces or removes rows of the two tables. It applies only to the
// tables of version Base.
type Edit struct {
	ID           EditID   `json:"id"`
	Base         Version  `json:"base"`
	PutRoutes    []Route  `json:"put_routes,omitempty"`
	PutPools     []Pool   `json:"put_pools,omitempty"`
	DeleteRoutes []string `json:"delete_routes,omitempty"`
	DeletePools  []string `json:"delete_pools,omitempty"`
	// Floor makes the edit's version higher than Floor, for a restore into
	// control hosts that have lost the versions up to it.
	Floor Version `json:"floor,omitempty"`
}

// Apply returns the tables after the edit. It does not compare Base: that is
// the agreement's part. It fails when the tables would not be valid.
func (t *Tables) Apply(e Edit) (Tables, error) {
	next := t.Clone()
	next.Version = max(t.Version, e.Floor) + 1
	next.remove(e)
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

// Validate reports the first fault of the tables as an invalid-tables error
// whose message names the remedy.
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
			return ErrInvalidTables.With("pool %q: a quota has no team or negative slots: give both", p.Name)
		}
	}
	return nil
}

// Retryable reports whether a request of the method may start again on the
// route after a start that may have run.
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
