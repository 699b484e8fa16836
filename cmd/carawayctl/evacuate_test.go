package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/hub"
	"github.com/carawaylanding/carawaylanding/hubapi"
)

// fakeEvacuator has the domains a and b. It answers with err if that is set.
type fakeEvacuator struct {
	evacuated []string
	err       error
}

func (f *fakeEvacuator) BeginEvacuation(_ context.Context, domain string) error {
	if f.err == nil && domain != "a" && domain != "b" {
		return hub.ErrUnknownDomain
	}
	if f.err == nil && !slices.Contains(f.evacuated, domain) {
		f.evacuated = append(f.evacuated, domain)
	}
	return f.err
}

func (f *fakeEvacuator) EndEvacuation(_ context.Context, domain string) error {
	if f.err == nil {
		f.evacuated = slices.DeleteFunc(f.evacuated, func(d string) bool { return d == domain })
	}
	return f.err
}

func (f *fakeEvacuator) Evacuations(context.Context) ([]string, error) { return f.evacuated, f.err }

func (f *fakeEvacuator) serve(t *testing.T, leader string) string {
	mux := http.NewServeMux()
	(&hubapi.Evacuations{Hub: f, LeaderAddr: func() string { return leader }, Log: logr.Discard()}).Register(mux)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// The verbs must find the leader through any hub, whether that redirects or knows no
// leader, and give the same answer when repeated.
func TestEvacuateFindsTheLeader(t *testing.T) {
	leader := &fakeEvacuator{}
	leaderAddr := leader.serve(t, "")
	follower := (&fakeEvacuator{err: hub.ErrNotLeader}).serve(t, leaderAddr)
	lost := (&fakeEvacuator{err: hub.ErrNotLeader}).serve(t, "")
	for _, admin := range []string{leaderAddr, follower, lost + "," + follower, "127.0.0.1:1," + leaderAddr} {
		for _, verb := range []struct {
			name      string
			evacuated []string
			list      string
		}{{"begin", []string{"a"}, "EVACUATED DOMAIN\na\n"}, {"end", []string{}, "EVACUATED DOMAIN\n"}} {
			var first string
			for range 2 {
				code, out, errOut := runCtl(t, "-admin", admin, "evacuate", verb.name, "a")
				must.Eq(t, exitOK, code, must.Sprint(admin, errOut))
				must.SliceContainsAll(t, verb.evacuated, leader.evacuated)
				must.True(t, first == "" || first == out)
				first = out
			}
			_, out, _ := runCtl(t, "-admin", admin, "evacuate", "list")
			must.Eq(t, verb.list, out)
		}
	}
	code, _, errOut := runCtl(t, "-admin", lost, "evacuate", "begin", "a")
	must.Eq(t, exitFailed, code)
	must.StrContains(t, errOut, "no-leader")
	code, _, errOut = runCtl(t, "-admin", follower, "evacuate", "begin", "x")
	must.Eq(t, exitFailed, code)
	must.StrContains(t, errOut, "unknown-domain")
	must.Eq(t, exitUsage, exitCode(runCtl(t, "-admin", follower, "evacuate", "begin")))
	must.Eq(t, exitUsage, exitCode(runCtl(t, "-admin", follower, "evacuate", "all")))
	_, out, _ := runCtl(t, "-admin", follower, "-o", "json", "evacuate", "list")
	must.Eq(t, "{\n  \"evacuated\": []\n}\n", out)
}
