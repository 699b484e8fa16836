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

// fakeHost is a fake of a host's admin interface. It serves one request at a time.
type fakeHost struct {
	tables    contract.Tables
	processes []node.ProcessStatus
	// answersToLose is the number of answers to edits that are still to be lost
	// after the edit has been accepted.
	answersToLose int
	// concurrentEdit is an edit by another operator that is applied just before
	// the next received one.
	concurrentEdit *contract.Edit
	// receivedIDs are the IDs of all received edits, including repeated ones.
	receivedIDs []contract.EditID
	// acceptedVersions holds the version that each accepted edit made.
	acceptedVersions map[contract.EditID]contract.Version
}

func (f *fakeHost) serve(t *testing.T) string {
	f.acceptedVersions = make(map[contract.EditID]contract.Version)
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
	f.receivedIDs = append(f.receivedIDs, e.ID)
	if f.concurrentEdit != nil {
		f.tables, _ = f.tables.Apply(*f.concurrentEdit)
		f.concurrentEdit = nil
	}
	if _, seen := f.acceptedVersions[e.ID]; !seen {
		if e.Base != f.tables.Version {
			w.WriteHeader(http.StatusConflict)
			json.NewEncoder(w).Encode(errorBody{Kind: "version-conflict", Message: "edited concurrently", Remedy: "retry"})
			return
		}
		f.tables, _ = f.tables.Apply(e)
		f.acceptedVersions[e.ID] = f.tables.Version
	}
	if f.answersToLose > 0 {
		f.answersToLose--
		panic(http.ErrAbortHandler)
	}
	json.NewEncoder(w).Encode(node.EditAnswer{Version: f.acceptedVersions[e.ID]})
}

// runCtl runs carawayctl with the arguments.
func runCtl(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var outBuf, errBuf bytes.Buffer
	code = run(context.Background(), args, &outBuf, &errBuf)
	return code, outBuf.String(), errBuf.String()
}

func writeFile(t *testing.T, body string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "tables.json")
	must.NoError(t, os.WriteFile(file, []byte(body), 0o600))
	return file
}

const bothTablesJSON = `{"routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula"}], "pools": [{"name": "formula"}]}`

func TestDiffAfterApplyShowsNoChange(t *testing.T) {
	f := &fakeHost{}
	addr := f.serve(t)
	file := writeFile(t, bothTablesJSON)
	code, out, _ := runCtl(t, "-admin", addr, "apply", "-f", file)
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "+ route")
	must.StrContains(t, out, "version 1 accepted")
	code, out, _ = runCtl(t, "-admin", addr, "routes", "diff", "-f", writeFile(t, `{"routes": []}`))
	must.Eq(t, exitDiffers, code)
	must.StrContains(t, out, "- route cards")
	code, _, _ = runCtl(t, "-admin", addr, "pools", "diff", "-f", writeFile(t, `{"pools": [{"name": "formula"}]}`))
	must.Eq(t, exitOK, code)
	code, out, _ = runCtl(t, "apply", "-admin", addr, "-f", file, "-o", "json")
	must.Eq(t, exitOK, code)
	var res ApplyResult
	must.NoError(t, json.Unmarshal([]byte(out), &res))
	must.False(t, res.Changed)
	t.Setenv("CARAWAYCTL_ADMIN", addr)
	code, out, _ = runCtl(t, "routes", "get", "cards")
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "/cards")
}

func TestLostAnswerIsResentWithTheSameEditID(t *testing.T) {
	f := &fakeHost{answersToLose: editAttempts - 1}
	addr := f.serve(t)
	code, out, errOut := runCtl(t, "-admin", addr, "apply", "-f", writeFile(t, bothTablesJSON))
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "version 1 accepted")
	must.StrContains(t, errOut, "sending edit "+string(f.receivedIDs[0])+" again")
	must.Len(t, editAttempts, f.receivedIDs)
	must.Eq(t, f.receivedIDs[0], f.receivedIDs[editAttempts-1])
	must.Eq(t, 1, f.tables.Version)
}

func TestUnconfirmedEditIsReported(t *testing.T) {
	f := &fakeHost{answersToLose: editAttempts}
	code, _, errOut := runCtl(t, "-admin", f.serve(t), "apply", "-f", writeFile(t, bothTablesJSON))
	must.Eq(t, exitFailed, code)
	must.StrContains(t, errOut, "may or may not be accepted")
	must.StrContains(t, errOut, "run the same apply again")
}

func TestConflictShowsTheVersionInForce(t *testing.T) {
	f := &fakeHost{concurrentEdit: &contract.Edit{PutPools: []contract.Pool{{Name: "alarms"}}}}
	code, _, errOut := runCtl(t, "-admin", f.serve(t), "apply", "-f", writeFile(t, bothTablesJSON))
	must.Eq(t, exitConflict, code)
	must.StrContains(t, errOut, "version 1 is in force")
	must.StrContains(t, errOut, "pool alarms")
}

func TestWaitCountsProcesses(t *testing.T) {
	f := &fakeHost{processes: []node.ProcessStatus{{Host: "a", Linked: true, Version: 1}, {Host: "b", Linked: true, Version: 1}}}
	addr := f.serve(t)
	code, out, _ := runCtl(t, "-admin", addr, "apply", "-f", writeFile(t, bothTablesJSON), "-wait")
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "in force on 2 of 2 processes")
	f.processes[1].Linked = false
	code, _, errOut := runCtl(t, "-admin", addr, "apply", "-f", writeFile(t, bothTablesJSON), "-wait", "-wait-limit", "1ms")
	must.Eq(t, exitNotInForce, code)
	must.StrContains(t, errOut, "1 of 2 processes")
	must.StrContains(t, errOut, "b (not linked)")
}

func TestErrorsNameTheRemedy(t *testing.T) {
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
		{"table of another command", []string{"pools", "apply", "-f", writeFile(t, bothTablesJSON)}, exitFailed, "use carawayctl apply for both tables"},
		{"unknown field", []string{"apply", "-f", writeFile(t, `{"rutes": []}`)}, exitFailed, "correct the file"},
		{"trailing data", []string{"apply", "-f", writeFile(t, bothTablesJSON+"{}")}, exitFailed, "keep one object"},
		{"no such row", []string{"routes", "get", "nope"}, exitFailed, "leave the name out"},
		{"outcome without a job", []string{"outcome"}, exitUsage, "give JOB"},
		{"outcome of a task that is no number", []string{"outcome", "j", "x"}, exitUsage, "is not a number"},
		{"drain without a host", []string{"drain"}, exitUsage, "carawayctl status"},
		{"unreachable host", []string{"-admin", "127.0.0.1:1", "upstreams"}, exitFailed, "check -admin"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			args := append([]string{"-admin", addr}, tc.args...)
			code, _, errOut := runCtl(t, args...)
			must.Eq(t, tc.code, code)
			must.True(t, strings.Contains(errOut, tc.want), must.Sprintf("%q does not contain %q", errOut, tc.want))
		})
	}
}
