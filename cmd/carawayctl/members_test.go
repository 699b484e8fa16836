package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// A restore must make a version above both the version in force and that of the
// backup, and must refuse a modified backup file.
func TestRestoreMakesANewVersion(t *testing.T) {
	f := &fakeHost{}
	addr := f.serve(t)
	put := func(name string) {
		next, err := f.tables.Apply(contract.Edit{PutPools: []contract.Pool{{Name: name}}})
		must.NoError(t, err)
		f.tables = next
	}
	put("a")
	file := filepath.Join(t.TempDir(), "backup.json")
	code, _, errOut := runCtl(t, "-admin", addr, "backup", "-f", file)
	must.Eq(t, exitOK, code, must.Sprint(errOut))
	put("b")
	code, _, errOut = runCtl(t, "-admin", addr, "restore", "-f", file)
	must.Eq(t, exitOK, code, must.Sprint(errOut))
	must.Eq(t, contract.Version(3), f.tables.Version)
	must.SliceLen(t, 1, f.tables.Pools)

	// The control hosts have lost all versions. The restore makes a version above
	// that of the backup.
	f.tables = contract.Tables{}
	put("c")
	f.tables.Version = 1
	must.Eq(t, exitOK, exitCode(runCtl(t, "-admin", addr, "restore", "-f", file)))
	must.Eq(t, contract.Version(2), f.tables.Version)

	raw, err := os.ReadFile(file)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(file, []byte(strings.Replace(string(raw), `"a"`, `"z"`, 1)), 0o600))
	code, _, errOut = runCtl(t, "-admin", addr, "restore", "-f", file)
	must.Eq(t, exitFailed, code)
	must.StrContains(t, errOut, "checksum")
}

// exitCode returns the exit code of a runCtl call.
func exitCode(code int, _, _ string) int { return code }
