package control

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/quorum"
)

// writeStore saves a state in a new store, closes the store, and returns its
// folder and the state.
func writeStore(t *testing.T) (dir string, st quorum.AcceptorState) {
	t.Helper()
	dir = t.TempDir()
	s, err := OpenStore(dir)
	must.NoError(t, err)
	b := contract.Ballot{Round: 7, Host: "a"}
	st = quorum.AcceptorState{Disk: "d", Voter: true, Promised: b, Accepted: b, Value: make([]byte, 200<<10)}
	for i := range st.Value {
		st.Value[i] = byte(i % 251)
	}
	must.NoError(t, s.Save(st))
	must.NoError(t, s.Close())
	return dir, st
}

// A state whose promise changed after the value was saved is loaded with both.
func TestStoreKeepsTheState(t *testing.T) {
	dir, st := writeStore(t)
	s, err := OpenStore(dir)
	must.NoError(t, err)
	defer s.Close()
	st.Promised.Round++
	must.NoError(t, s.Save(st))
	got, err := s.Load()
	must.NoError(t, err)
	must.Eq(t, st, got)
}

// Each kind of damage is reported as a CorruptError.
func TestDamagedFileIsCorrupt(t *testing.T) {
	damages := map[string]func(raw []byte) []byte{
		"a byte of the value": func(raw []byte) []byte {
			for i := range raw {
				if i > 4 && raw[i] == 250 && raw[i-1] == 249 && raw[i-2] == 248 {
					raw[i] ^= 1
					return raw
				}
			}
			panic("the value is not in the file")
		},
		"torn in the middle": func(raw []byte) []byte { return raw[:len(raw)/4] },
		"overwritten":        func(raw []byte) []byte { return make([]byte, len(raw)) },
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			dir, _ := writeStore(t)
			path := filepath.Join(dir, fileName)
			raw, err := os.ReadFile(path)
			must.NoError(t, err)
			must.NoError(t, os.WriteFile(path, damage(raw), 0o600))
			var corrupt *CorruptError
			must.True(t, errors.As(loadFrom(dir), &corrupt))
		})
	}
}

// loadFrom returns the error of opening and loading the store in dir.
func loadFrom(dir string) error {
	s, err := OpenStore(dir)
	if err != nil {
		return err
	}
	defer s.Close()
	_, err = s.Load()
	return err
}
