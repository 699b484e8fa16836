// Package hubapi is the HTTP interface of a hub for operators.
package hubapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/entry"
	"github.com/carawaylanding/carawaylanding/hub"
)

// requestTimeout limits how long a request waits for a majority of the hubs.
const requestTimeout = 4 * time.Second

// retryAfter is when to send a request again that no leader has answered: a change of
// leader takes 0.3 to 0.6 s.
const retryAfter = time.Second

// Evacuator takes and lists evacuations of failure domains. *hub.Hub implements it.
type Evacuator interface {
	BeginEvacuation(ctx context.Context, domain string) error
	EndEvacuation(ctx context.Context, domain string) error
	Evacuations(ctx context.Context) ([]string, error)
}

// Evacuations serves /v1/evacuations and the paths below it.
type Evacuations struct {
	Hub Evacuator
	// LeaderAddr returns the IP:port at which the leader serves this interface. It
	// returns an empty string if no leader is known or this hub leads.
	LeaderAddr func() string
	Log        logr.Logger
}

// EvacuationAnswer is the answer to an order, and to a request for one domain.
type EvacuationAnswer struct {
	Domain    string `json:"domain"`
	Evacuated bool   `json:"evacuated"`
}

// EvacuationsAnswer is the answer to GET /v1/evacuations: the evacuated domains in
// ascending order.
type EvacuationsAnswer struct {
	Evacuated []string `json:"evacuated"`
}

// Register adds the paths of the interface to mux.
func (e *Evacuations) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/evacuations", e.serveList)
	mux.HandleFunc("GET /v1/evacuations/{domain}", e.serveOne)
	mux.HandleFunc("PUT /v1/evacuations/{domain}", e.serveOrder(true))
	mux.HandleFunc("DELETE /v1/evacuations/{domain}", e.serveOrder(false))
}

func (e *Evacuations) serveList(w http.ResponseWriter, r *http.Request) {
	if domains, ok := e.list(w, r); ok {
		writeJSON(w, EvacuationsAnswer{Evacuated: append([]string{}, domains...)})
	}
}

func (e *Evacuations) serveOne(w http.ResponseWriter, r *http.Request) {
	domain := r.PathValue("domain")
	if domains, ok := e.list(w, r); ok {
		writeJSON(w, EvacuationAnswer{Domain: domain, Evacuated: slices.Contains(domains, domain)})
	}
}

// list returns the evacuated domains. If that fails, it answers the request and returns
// false.
func (e *Evacuations) list(w http.ResponseWriter, r *http.Request) ([]string, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	domains, err := e.Hub.Evacuations(ctx)
	if err != nil {
		e.Log.Info("evacuations not listed", "err", err)
		e.refuse(w, r, err)
	}
	return domains, err == nil
}

// serveOrder returns the handler of orders to begin evacuations, or to end them.
func (e *Evacuations) serveOrder(begin bool) http.HandlerFunc {
	order := e.Hub.EndEvacuation
	if begin {
		order = e.Hub.BeginEvacuation
	}
	return func(w http.ResponseWriter, r *http.Request) {
		domain := r.PathValue("domain")
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		start := time.Now()
		err := order(ctx, domain)
		e.Log.Info("evacuation order answered", "method", r.Method, "domain", domain, "ms", time.Since(start).Milliseconds(), "err", err)
		if err != nil {
			e.refuse(w, r, err)
			return
		}
		writeJSON(w, EvacuationAnswer{Domain: domain, Evacuated: begin})
	}
}

// refuse redirects the client to the leader if this hub does not lead and knows the
// leader. Otherwise it answers with the error.
func (e *Evacuations) refuse(w http.ResponseWriter, r *http.Request, err error) {
	if errors.Is(err, hub.ErrUnknownDomain) {
		entry.WriteError(w, contract.ErrUnknownDomain.With("%v", err))
		return
	}
	if errors.Is(err, hub.ErrNotLeader) {
		if addr := e.LeaderAddr(); addr != "" {
			w.Header().Set("Location", "http://"+addr+r.URL.EscapedPath())
			w.WriteHeader(http.StatusTemporaryRedirect)
			return
		}
	}
	entry.WriteError(w, contract.ErrNoLeader.WithRetryAfter(retryAfter, "no control host that leads has answered: %v", err))
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
