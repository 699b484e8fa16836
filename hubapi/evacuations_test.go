package hubapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/hub"
)

// fakeHub records the orders, and fails every call with err if it is set.
type fakeHub struct {
	orders []string
	err    error
}

func (f *fakeHub) BeginEvacuation(_ context.Context, domain string) error {
	f.orders = append(f.orders, "begin "+domain)
	return f.err
}

func (f *fakeHub) EndEvacuation(_ context.Context, domain string) error {
	f.orders = append(f.orders, "end "+domain)
	return f.err
}

func (f *fakeHub) Evacuations(context.Context) ([]string, error) { return nil, f.err }

// An order must reach the hub as it was meant, and each outcome must have the status
// by which operators' tools decide whether to send it again.
func TestEvacuationRequests(t *testing.T) {
	cases := []struct {
		request, leader string
		err             error
		status          int
		location, body  string
		order           string
	}{
		{"PUT /v1/evacuations/a%20b", "", nil, 200, "", `{"domain":"a b","evacuated":true}`, "begin a b"},
		{"DELETE /v1/evacuations/a", "", nil, 200, "", `{"domain":"a","evacuated":false}`, "end a"},
		{"GET /v1/evacuations", "", nil, 200, "", `{"evacuated":[]}`, ""},
		{"GET /v1/evacuations/a", "", nil, 200, "", `{"domain":"a","evacuated":false}`, ""},
		{"PUT /v1/evacuations/a%2Fb", "10.0.0.1:80", hub.ErrNotLeader, 307, "http://10.0.0.1:80/v1/evacuations/a%2Fb", "", "begin a/b"},
		{"GET /v1/evacuations", "10.0.0.1:80", hub.ErrNotLeader, 307, "http://10.0.0.1:80/v1/evacuations", "", ""},
		{"DELETE /v1/evacuations/a", "", hub.ErrNotLeader, 503, "", "no-leader", "end a"},
		{"PUT /v1/evacuations/a", "10.0.0.1:80", context.DeadlineExceeded, 503, "", "no-leader", "begin a"},
		{"PUT /v1/evacuations/x", "10.0.0.1:80", fmt.Errorf("%w: name a or b", hub.ErrUnknownDomain), 422, "", "unknown-domain", "begin x"},
	}
	for _, c := range cases {
		f := &fakeHub{err: c.err}
		mux := http.NewServeMux()
		(&Evacuations{Hub: f, LeaderAddr: func() string { return c.leader }, Log: logr.Discard()}).Register(mux)
		var method, path string
		_, err := fmt.Sscan(c.request, &method, &path)
		must.NoError(t, err)
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		must.Eq(t, c.status, w.Code, must.Sprint(c.request))
		must.Eq(t, c.location, w.Header().Get("Location"))
		must.StrContains(t, w.Body.String(), c.body)
		must.Eq(t, c.status == 503, w.Header().Get("Retry-After") != "")
		if c.order != "" {
			must.Eq(t, []string{c.order}, f.orders)
		}
		if c.status >= 400 {
			var body struct{ Remedy string }
			must.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
			must.NotEq(t, "", body.Remedy)
		}
	}
}
