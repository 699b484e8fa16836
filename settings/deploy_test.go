package settings

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

const examples = "../deploy/systemd/*/"

// TestDeployExamplesAreValid keeps the examples true to the settings; only the
// data folder is another.
func TestDeployExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob(examples + "*.env")
	must.NoError(t, err)
	must.Len(t, 9, files)
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			raw, err := os.ReadFile(file)
			must.NoError(t, err)
			for line := range strings.Lines(string(raw)) {
				if name, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok && !strings.HasPrefix(line, "#") {
					t.Setenv(name, value)
				}
			}
			s, err := Parse([]string{"-data-dir", t.TempDir()}, io.Discard)
			must.NoError(t, err)
			must.StrContains(t, file, string(s.ID))
		})
	}
}

func TestDeployTablesAreValid(t *testing.T) {
	files, err := filepath.Glob(examples + "tables.json")
	must.NoError(t, err)
	must.Len(t, 2, files)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		must.NoError(t, err)
		var e struct {
			Routes []contract.Route `json:"routes"`
			Pools  []contract.Pool  `json:"pools"`
		}
		must.NoError(t, json.Unmarshal(raw, &e))
		empty := contract.Tables{}
		_, err = empty.Apply(contract.Edit{PutRoutes: e.Routes, PutPools: e.Pools})
		must.NoError(t, err)
	}
}
