// Package scenarios runs the scripted scenarios: each script's name says the
// failure that it produces with real processes on loopback.
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

// bin holds the programs that the tests built.
var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "carawaylanding-scenarios-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	if out, err := exec.Command("go", "build", "-o", dir, "../cmd/...").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// maxSystems bounds the scripts that run at once.
const maxSystems = 3

func params(files []string) testscript.Params {
	running := make(chan struct{}, maxSystems)
	return testscript.Params{
		Files: files,
		Cmds:  scenario.Commands(),
		Setup: func(env *testscript.Env) error {
			running <- struct{}{}
			env.Defer(func() { <-running })
			return scenario.Setup(env, bin)
		},
	}
}

const knownRedFile = "../KNOWN-RED.txt"

// scripts returns the scripts, and apart from them those that KNOWN-RED.txt
// lists by their path.
func scripts(t *testing.T) (green, red []string) {
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

// builtins are the commands of testscript itself that end a script early or
// act on its own background processes; our scripts use none.
var builtins = []string{"kill", "stop", "skip", "wait", "exec"}

func TestScriptsUseOurVerbsOnly(t *testing.T) {
	green, red := scripts(t)
	verbs := scenario.Commands()
	for _, name := range builtins {
		must.MapNotContainsKey(t, verbs, name)
	}
	for _, f := range slices.Concat(green, red) {
		raw, err := os.ReadFile(f)
		must.NoError(t, err)
		for line := range strings.Lines(string(raw)) {
			word, _, _ := strings.Cut(strings.TrimPrefix(strings.TrimSpace(line), "! "), " ")
			if word == "" || word[0] == '#' {
				continue
			}
			must.MapContainsKey(t, verbs, word, must.Sprintf("%s: %q", f, word))
		}
	}
}

func TestScenarios(t *testing.T) {
	green, _ := scripts(t)
	must.SliceNotEmpty(t, green)
	testscript.Run(t, params(green))
}

// TestKnownRed runs the scripts of KNOWN-RED.txt and prints how they end; they
// are not counted.
func TestKnownRed(t *testing.T) {
	_, red := scripts(t)
	if len(red) == 0 {
		return
	}
	rec := &recorder{t: t}
	testscript.RunT(rec, params(red))
	slices.Sort(rec.ended)
	t.Logf("known failures, not counted:\n%s", strings.Join(rec.ended, "\n"))
}

// recorder runs scripts one by one and records how each ended.
type recorder struct {
	t     *testing.T
	ended []string
	log   strings.Builder
}

// stopped ends a script that failed or was skipped.
type stopped struct{}

func (r *recorder) Skip(args ...any)  { r.Log(args...); panic(stopped{}) }
func (r *recorder) Fatal(args ...any) { r.Log(args...); r.FailNow() }
func (r *recorder) FailNow()          { panic(stopped{}) }
func (r *recorder) Parallel()         {}
func (r *recorder) Log(args ...any)   { fmt.Fprintln(&r.log, args...) }
func (r *recorder) Verbose() bool     { return testing.Verbose() }

func (r *recorder) Run(name string, f func(testscript.T)) {
	sub := &recorder{t: r.t}
	verdict := "passes now: take it out of KNOWN-RED.txt"
	func() {
		defer func() {
			if cause := recover(); cause != nil {
				if _, ok := cause.(stopped); !ok {
					panic(cause)
				}
				verdict = "fails:\n" + sub.log.String()
			}
		}()
		f(sub)
	}()
	r.ended = append(r.ended, name+" "+verdict)
}
