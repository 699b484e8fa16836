// Package proof checks docs/PROOF.md against the tree.
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

// page returns the lines of docs/PROOF.md.
func page(t *testing.T) []string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, "docs", "PROOF.md"))
	must.NoError(t, err)
	return strings.Split(string(raw), "\n")
}

// named matches a file of the tree, with a test function where one follows.
var named = regexp.MustCompile("`([\\w./-]+/[\\w.-]+\\.(?:go|txtar|pml|mistakes|md))(?::(Test\\w+))?`")

func TestPageNamesWhatExists(t *testing.T) {
	seen := 0
	for _, line := range page(t) {
		for _, m := range named.FindAllStringSubmatch(line, -1) {
			seen++
			raw, err := os.ReadFile(filepath.Join(root, m[1]))
			must.NoError(t, err)
			if m[2] != "" {
				must.StrContains(t, string(raw), "func "+m[2]+"(t *testing.T)", must.Sprintf("%s has no %s", m[1], m[2]))
			}
		}
	}
	must.Positive(t, seen)
}

func TestEachScenarioIsNamed(t *testing.T) {
	text := strings.Join(page(t), "\n")
	scripts, err := filepath.Glob(filepath.Join(root, "scenarios", "*.txtar"))
	must.NoError(t, err)
	for _, s := range scripts {
		must.StrContains(t, text, "scenarios/"+filepath.Base(s))
	}
}

// columns of each table: point, mechanism, model, scenarios, tests, command,
// measured, not proved.
const (
	columns       = 8
	commandColumn = 5
)

var target = regexp.MustCompile("`make ([a-z ]+)`")

// TestEachRowHasACommand checks that each row names targets of the Makefile, or
// says that it is not proved.
func TestEachRowHasACommand(t *testing.T) {
	makefile, err := os.ReadFile(filepath.Join(root, "Makefile"))
	must.NoError(t, err)
	rows := 0
	for _, line := range page(t) {
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
		m := target.FindStringSubmatch(command)
		must.SliceLen(t, 2, m, must.Sprint(line))
		for name := range strings.FieldsSeq(m[1]) {
			must.StrContains(t, string(makefile), "\n"+name+":", must.Sprintf("make has no %s", name))
		}
	}
	must.Positive(t, rows)
}
