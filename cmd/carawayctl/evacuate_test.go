package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/hub"
	"github.com/carawaylanding/carawaylanding/hubapi"
	"github.com/carawaylanding/carawaylanding/internal/fakehub"
)

// serveHub serves a fake hub that names the leader's address, and returns its own.
func serveHub(t *testing.T, h *fakehub.Hub, leader string) string {
	mux := http.NewServeMux()
	(&hubapi.Evacuations{Hub: h, LeaderAddr: func() string { return leader }, Log: logr.Discard()}).Register(mux)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// The verbs must find the leader through any hub, whether that redirects, knows no
// leader or is down, and give the same answer when repeated.
func TestEvacuateFindsTheLeader(t *testing.T) {
	leader := serveHub(t, &fakehub.Hub{Known: []string{"a"}}, "")
	follower := serveHub(t, &fakehub.Hub{Err: hub.ErrNotLeader}, leader)
	lost := serveHub(t, &fakehub.Hub{Err: hub.ErrNotLeader}, "")
	const begun, ended = "a is evacuated: its workers get no new work, and what runs there goes on\n", "a is not evacuated\n"
	for _, admin := range []string{leader, follower, lost + "," + follower, "127.0.0.1:1," + leader} {
		for _, c := range []struct{ verb, answer, list string }{
			{"begin", begun, "EVACUATED DOMAIN\na\n"}, {"begin", begun, "EVACUATED DOMAIN\na\n"},
			{"end", ended, "EVACUATED DOMAIN\n"}, {"end", ended, "EVACUATED DOMAIN\n"},
		} {
			code, out, errOut := runCtl(t, "-admin", admin, "evacuate", c.verb, "a")
			must.Eq(t, exitOK, code, must.Sprint(admin, errOut))
			must.Eq(t, c.answer, out)
			_, out, _ = runCtl(t, "-admin", admin, "evacuate", "list")
			must.Eq(t, c.list, out)
		}
	}
	_, out, _ := runCtl(t, "-admin", follower, "-o", "json", "evacuate", "list")
	must.Eq(t, "{\n  \"evacuated\": []\n}\n", out)
	code, _, errOut := runCtl(t, "-admin", lost, "evacuate", "begin", "a")
	must.Eq(t, exitFailed, code)
	must.StrContains(t, errOut, "no-leader")
	code, _, errOut = runCtl(t, "-admin", follower, "evacuate", "begin", "x")
	must.Eq(t, exitFailed, code)
	must.StrContains(t, errOut, "unknown-domain")
	must.Eq(t, exitUsage, exitCode(runCtl(t, "-admin", follower, "evacuate", "begin")))
	must.Eq(t, exitUsage, exitCode(runCtl(t, "-admin", follower, "evacuate", "all")))
}
