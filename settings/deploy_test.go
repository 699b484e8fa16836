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

// The example environment files must be valid settings. Only the data folder is
// replaced, since the check requires one that exists.
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

// The example tables must be accepted as a first edit.
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
