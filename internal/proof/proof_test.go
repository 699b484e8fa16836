// Package proof checks that docs/PROOF.md refers only to files, tests and make
// targets that exist.
package proof

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const root = "../.."

// pageLines returns the lines of docs/PROOF.md.
func pageLines(t *testing.T) []string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, "docs", "PROOF.md"))
	must.NoError(t, err)
	return strings.Split(string(raw), "\n")
}

// fileReference matches the path of a file in the repository, optionally followed
// by a test function.
var fileReference = regexp.MustCompile("`([\\w./-]+/[\\w.-]+\\.(?:go|txtar|pml|mistakes|md))(?::(Test\\w+))?`")

// TestPageNamesWhatExists checks that each file and test function that the page
// names exists.
func TestPageNamesWhatExists(t *testing.T) {
	references := 0
	for _, line := range pageLines(t) {
		for _, m := range fileReference.FindAllStringSubmatch(line, -1) {
			references++
			raw, err := os.ReadFile(filepath.Join(root, m[1]))
			must.NoError(t, err)
			if m[2] != "" {
				must.StrContains(t, string(raw), "func "+m[2]+"(t *testing.T)", must.Sprintf("%s has no %s", m[1], m[2]))
			}
		}
	}
	must.Positive(t, references)
}

// TestEachScenarioIsNamed checks that the page names each scenario script.
func TestEachScenarioIsNamed(t *testing.T) {
	text := strings.Join(pageLines(t), "\n")
	scripts, err := filepath.Glob(filepath.Join(root, "scenarios", "*.txtar"))
	must.NoError(t, err)
	for _, s := range scripts {
		must.StrContains(t, text, "scenarios/"+filepath.Base(s))
	}
}

// Each table has the columns point, mechanism, model, scenarios, tests, command,
// measured, not proved.
const (
	columns       = 8
	commandColumn = 5
)

// makeTargets matches a make command and captures its targets.
var makeTargets = regexp.MustCompile("`make ([a-z ]+)`")

// TestEachRowHasACommand checks that the command column of each row names targets
// of the Makefile or says "not proved".
func TestEachRowHasACommand(t *testing.T) {
	makefile, err := os.ReadFile(filepath.Join(root, "Makefile"))
	must.NoError(t, err)
	rows := 0
	for _, line := range pageLines(t) {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| Point ") {
			continue
		}
		rows++
		cells := strings.Split(strings.Trim(line, "|"), "|")
		must.Len(t, columns, cells, must.Sprint(line))
		command := cells[commandColumn]
		if strings.Contains(command, "not proved") {
			continue
		}
		m := makeTargets.FindStringSubmatch(command)
		must.SliceLen(t, 2, m, must.Sprint(line))
		for name := range strings.FieldsSeq(m[1]) {
			must.StrContains(t, string(makefile), "\n"+name+":", must.Sprintf("the Makefile has no target %s", name))
		}
	}
	must.Positive(t, rows)
}
