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

func savedFile(t *testing.T) (dir string, st quorum.AcceptorState) {
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

func TestStoreKeepsTheState(t *testing.T) {
	dir, st := savedFile(t)
	s, err := OpenStore(dir)
	must.NoError(t, err)
	defer s.Close()
	st.Promised.Round++
	must.NoError(t, s.Save(st))
	got, err := s.Load()
	must.NoError(t, err)
	must.Eq(t, st, got)
}

func TestDamagedFileIsCorrupt(t *testing.T) {
	damage := map[string]func(raw []byte) []byte{
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
	for name, f := range damage {
		t.Run(name, func(t *testing.T) {
			dir, _ := savedFile(t)
			path := filepath.Join(dir, fileName)
			raw, err := os.ReadFile(path)
			must.NoError(t, err)
			must.NoError(t, os.WriteFile(path, f(raw), 0o600))
			var corrupt *CorruptError
			must.True(t, errors.As(loadFrom(dir), &corrupt))
		})
	}
}

func loadFrom(dir string) error {
	s, err := OpenStore(dir)
	if err != nil {
		return err
	}
	defer s.Close()
	_, err = s.Load()
	return err
}
