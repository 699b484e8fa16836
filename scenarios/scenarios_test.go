// Package scenarios runs the scenario scripts with separate processes on loopback.
// The name of a script describes the failure that it produces.
package scenarios

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/internal/scenario"
)

// binDir is the directory of the programs, which TestMain builds.
var binDir string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "carawaylanding-scenarios-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	if out, err := exec.Command("go", "build", "-o", dir, "../cmd/...").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// maxParallelScripts bounds the number of scripts that run at the same time.
const maxParallelScripts = 3

func params(files []string) testscript.Params {
	running := make(chan struct{}, maxParallelScripts)
	return testscript.Params{
		Files: files,
		Cmds:  scenario.Commands(),
		Setup: func(env *testscript.Env) error {
			running <- struct{}{}
			env.Defer(func() { <-running })
			return scenario.Setup(env, binDir)
		},
	}
}

const knownRedFile = "../KNOWN-RED.txt"

// scriptsByStatus returns the scripts that must pass, and separately those that
// KNOWN-RED.txt lists by path.
func scriptsByStatus(t *testing.T) (green, red []string) {
	t.Helper()
	all, err := filepath.Glob("*.txtar")
	must.NoError(t, err)
	known, err := os.ReadFile(knownRedFile)
	if !os.IsNotExist(err) {
		must.NoError(t, err)
	}
	for _, f := range all {
		if strings.Contains(string(known), "scenarios/"+f) {
			red = append(red, f)
			continue
		}
		green = append(green, f)
	}
	return green, red
}

// unusedBuiltins are the commands of testscript that end a script early or control
// processes of testscript itself. The scripts must not use them.
var unusedBuiltins = []string{"kill", "stop", "skip", "wait", "exec"}

// TestScriptsUseOurVerbsOnly checks that each line of the scripts is a verb of
// package scenario, and that no verb has the name of an unused builtin, which would
// take precedence.
func TestScriptsUseOurVerbsOnly(t *testing.T) {
	green, red := scriptsByStatus(t)
	verbs := scenario.Commands()
	for _, name := range unusedBuiltins {
		must.MapNotContainsKey(t, verbs, name)
	}
	for _, f := range slices.Concat(green, red) {
		raw, err := os.ReadFile(f)
		must.NoError(t, err)
		for line := range strings.Lines(string(raw)) {
			verb, _, _ := strings.Cut(strings.TrimPrefix(strings.TrimSpace(line), "! "), " ")
			if verb == "" || verb[0] == '#' {
				continue
			}
			must.MapContainsKey(t, verbs, verb, must.Sprintf("%s: %q", f, verb))
		}
	}
}

// TestScenarios runs the scripts that must pass.
func TestScenarios(t *testing.T) {
	green, _ := scriptsByStatus(t)
	must.SliceNotEmpty(t, green)
	testscript.Run(t, params(green))
}

// TestKnownRed runs the scripts that KNOWN-RED.txt lists and logs their results. It
// does not fail if a script fails.
func TestKnownRed(t *testing.T) {
	_, red := scriptsByStatus(t)
	if len(red) == 0 {
		return
	}
	rec := &recorder{t: t}
	testscript.RunT(rec, params(red))
	slices.Sort(rec.results)
	t.Logf("known failures, not counted:\n%s", strings.Join(rec.results, "\n"))
}

// recorder implements testscript.T. It runs scripts one after another and records the
// result of each.
type recorder struct {
	t       *testing.T
	results []string
	log     strings.Builder
}

// scriptStopped is the panic value that ends a script that failed or was skipped.
type scriptStopped struct{}

func (r *recorder) Skip(args ...any)  { r.Log(args...); panic(scriptStopped{}) }
func (r *recorder) Fatal(args ...any) { r.Log(args...); r.FailNow() }
func (r *recorder) FailNow()          { panic(scriptStopped{}) }
func (r *recorder) Parallel()         {}
func (r *recorder) Log(args ...any)   { fmt.Fprintln(&r.log, args...) }
func (r *recorder) Verbose() bool     { return testing.Verbose() }

func (r *recorder) Run(name string, f func(testscript.T)) {
	sub := &recorder{t: r.t}
	result := "passes now: remove it from KNOWN-RED.txt"
	func() {
		defer func() {
			if cause := recover(); cause != nil {
				if _, ok := cause.(scriptStopped); !ok {
					panic(cause)
				}
				result = "fails:\n" + sub.log.String()
			}
		}()
		f(sub)
	}()
	r.results = append(r.results, name+" "+result)
}
