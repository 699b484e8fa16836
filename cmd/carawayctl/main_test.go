package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/node"
)

// fakeHost answers as a host's operators' interface does. It is used by one
// request at a time.
type fakeHost struct {
	tables    contract.Tables
	processes []node.ProcessStatus
	// lose is how many answers to edits are lost after the edit was taken.
	lose int
	// race is an edit of somebody else that comes in before ours.
	race  *contract.Edit
	edits []contract.EditID
	taken map[contract.EditID]contract.Version
}

func (f *fakeHost) serve(t *testing.T) string {
	f.taken = make(map[contract.EditID]contract.Version)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/tables", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(f.tables) })
	mux.HandleFunc("GET /admin/backup", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(f.tables) })
	mux.HandleFunc("GET /admin/processes", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(f.processes) })
	mux.HandleFunc("POST /admin/edits", f.serveEdit)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func (f *fakeHost) serveEdit(w http.ResponseWriter, r *http.Request) {
	var e contract.Edit
	if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.edits = append(f.edits, e.ID)
	if f.race != nil {
		f.tables, _ = f.tables.Apply(*f.race)
		f.race = nil
	}
	if _, seen := f.taken[e.ID]; !seen {
		if e.Base != f.tables.Version {
			w.WriteHeader(http.StatusConflict)
			json.NewEncoder(w).Encode(fault{Kind: "version-conflict", Message: "raced", Remedy: "again"})
			return
		}
		f.tables, _ = f.tables.Apply(e)
		f.taken[e.ID] = f.tables.Version
	}
	if f.lose > 0 {
		f.lose--
		panic(http.ErrAbortHandler)
	}
	json.NewEncoder(w).Encode(node.EditAnswer{Version: f.taken[e.ID]})
}

func ctl(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = run(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

func writeFile(t *testing.T, body string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "tables.json")
	must.NoError(t, os.WriteFile(file, []byte(body), 0o600))
	return file
}

const bothFile = `{"routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula"}], "pools": [{"name": "formula"}]}`

func TestApplyThenDiffShowsNothing(t *testing.T) {
	f := &fakeHost{}
	addr := f.serve(t)
	file := writeFile(t, bothFile)
	code, out, _ := ctl(t, "-admin", addr, "apply", "-f", file)
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "+ route")
	must.StrContains(t, out, "version 1 accepted")
	code, out, _ = ctl(t, "-admin", addr, "routes", "diff", "-f", writeFile(t, `{"routes": []}`))
	must.Eq(t, exitDiffers, code)
	must.StrContains(t, out, "- route cards")
	code, _, _ = ctl(t, "-admin", addr, "pools", "diff", "-f", writeFile(t, `{"pools": [{"name": "formula"}]}`))
	must.Eq(t, exitOK, code)
	code, out, _ = ctl(t, "apply", "-admin", addr, "-f", file, "-o", "json")
	must.Eq(t, exitOK, code)
	var res ApplyResult
	must.NoError(t, json.Unmarshal([]byte(out), &res))
	must.False(t, res.Changed)
	t.Setenv("CARAWAYCTL_ADMIN", addr)
	code, out, _ = ctl(t, "routes", "get", "cards")
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "/cards")
}

func TestLostAnswerIsResentWithTheSameEditID(t *testing.T) {
	f := &fakeHost{lose: editAttempts - 1}
	addr := f.serve(t)
	code, out, errOut := ctl(t, "-admin", addr, "apply", "-f", writeFile(t, bothFile))
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "version 1 accepted")
	must.StrContains(t, errOut, "sending edit "+string(f.edits[0])+" again")
	must.Len(t, editAttempts, f.edits)
	must.Eq(t, f.edits[0], f.edits[editAttempts-1])
	must.Eq(t, 1, f.tables.Version)
}

func TestEditGivenUpOnSaysSo(t *testing.T) {
	f := &fakeHost{lose: editAttempts}
	code, _, errOut := ctl(t, "-admin", f.serve(t), "apply", "-f", writeFile(t, bothFile))
	must.Eq(t, exitFailed, code)
	must.StrContains(t, errOut, "may or may not be accepted")
	must.StrContains(t, errOut, "run the same apply again")
}

func TestConflictShowsTheVersionInForce(t *testing.T) {
	f := &fakeHost{race: &contract.Edit{PutPools: []contract.Pool{{Name: "alarms"}}}}
	code, _, errOut := ctl(t, "-admin", f.serve(t), "apply", "-f", writeFile(t, bothFile))
	must.Eq(t, exitConflict, code)
	must.StrContains(t, errOut, "version 1 is in force")
	must.StrContains(t, errOut, "pool alarms")
}

func TestWaitCountsProcesses(t *testing.T) {
	f := &fakeHost{processes: []node.ProcessStatus{{Host: "a", Linked: true, Version: 1}, {Host: "b", Linked: true, Version: 1}}}
	addr := f.serve(t)
	code, out, _ := ctl(t, "-admin", addr, "apply", "-f", writeFile(t, bothFile), "-wait")
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "in force on 2 of 2 processes")
	f.processes[1].Linked = false
	code, _, errOut := ctl(t, "-admin", addr, "apply", "-f", writeFile(t, bothFile), "-wait", "-wait-limit", "1ms")
	must.Eq(t, exitNotYet, code)
	must.StrContains(t, errOut, "1 of 2 processes")
	must.StrContains(t, errOut, "b (not linked)")
}

func TestFaultsNameTheRemedy(t *testing.T) {
	addr := (&fakeHost{}).serve(t)
	for _, tc := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"unknown command", []string{"rooutes"}, exitUsage, "see carawayctl -h"},
		{"unknown format", []string{"-o", "xml", "version"}, exitUsage, "give table or json"},
		{"no file", []string{"apply"}, exitUsage, "name the file"},
		{"missing table", []string{"apply", "-f", writeFile(t, `{"routes": []}`)}, exitFailed, "write them all"},
		{"foreign table", []string{"pools", "apply", "-f", writeFile(t, bothFile)}, exitFailed, "use carawayctl apply for both tables"},
		{"unknown field", []string{"apply", "-f", writeFile(t, `{"rutes": []}`)}, exitFailed, "correct the file"},
		{"trailing data", []string{"apply", "-f", writeFile(t, bothFile+"{}")}, exitFailed, "keep one object"},
		{"no such row", []string{"routes", "get", "nope"}, exitFailed, "leave the name out"},
		{"drain without a host", []string{"drain"}, exitUsage, "carawayctl status"},
		{"nobody there", []string{"-admin", "127.0.0.1:1", "upstreams"}, exitFailed, "check -admin"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			args := append([]string{"-admin", addr}, tc.args...)
			code, _, errOut := ctl(t, args...)
			must.Eq(t, tc.code, code)
			must.True(t, strings.Contains(errOut, tc.want), must.Sprintf("%q lacks %q", errOut, tc.want))
		})
	}
}
