package control

import (
	"fmt"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawaylanding/carawaylanding/contract"
)

// maxEditsKept bounds the edits whose first answer is kept.
const maxEditsKept = 500

// Register is the value that the control hosts agree on.
type Register struct {
	// Tables hold the group of control hosts too.
	Tables contract.Tables
	// Edits are the last edits, oldest first.
	Edits []contract.EditRecord
}

func decodeRegister(raw []byte) (Register, error) {
	var r Register
	if raw == nil {
		return r, nil
	}
	err := msgpack.Unmarshal(raw, &r)
	return r, err
}

func (r Register) encode() ([]byte, error) { return msgpack.Marshal(&r) }

// apply returns the register after the edit and the edit's answer. An edit
// seen before gets its first answer and changes nothing.
func (r Register) apply(e contract.Edit, at time.Time) (Register, contract.Version, error) {
	for _, seen := range r.Edits {
		if seen.ID == e.ID {
			return r, seen.Version, nil
		}
	}
	if e.Base != r.Tables.Version {
		return r, 0, r.conflict(e)
	}
	next, err := r.Tables.Apply(e)
	if err != nil {
		return r, 0, err
	}
	return r.record(next, contract.EditRecord{ID: e.ID, At: at, Change: describe(e)}), next.Version, nil
}

// conflict tells an edit that lost to another from one that may have been
// accepted so long ago that its record is gone.
func (r Register) conflict(e contract.Edit) error {
	forgotten := len(r.Edits) > 0 && e.Base+1 < r.Edits[0].Version
	if forgotten {
		return contract.ErrEditUnknown.With("the edit was made from version %d; whether it was accepted is no longer known: compare the tables of version %d with it", e.Base, r.Tables.Version)
	}
	return contract.ErrConflict.With("the edit was made from version %d; version %d is in force", e.Base, r.Tables.Version)
}

// record returns the register with the next tables and the record of the edit
// that made them.
func (r Register) record(next contract.Tables, rec contract.EditRecord) Register {
	rec.Version = next.Version
	edits := append(r.Edits[:len(r.Edits):len(r.Edits)], rec)
	if n := len(edits) - maxEditsKept; n > 0 {
		edits = edits[n:]
	}
	return Register{Tables: next, Edits: edits}
}

// regroup returns the register with another group of members, as a version of
// its own.
func (r Register) regroup(g contract.Group, change string, at time.Time) Register {
	next := r.Tables.Clone()
	next.Version++
	g.Version = next.Version
	next.Group = g
	return r.record(next, contract.EditRecord{At: at, Change: change})
}

// maxNamesDescribed bounds the rows that a record names.
const maxNamesDescribed = 8

func describe(e contract.Edit) string {
	var parts []string
	for _, r := range e.PutRoutes {
		parts = append(parts, "put route "+r.Name)
	}
	for _, p := range e.PutPools {
		parts = append(parts, "put pool "+p.Name)
	}
	for _, name := range e.DeleteRoutes {
		parts = append(parts, "delete route "+name)
	}
	for _, name := range e.DeletePools {
		parts = append(parts, "delete pool "+name)
	}
	if n := len(parts) - maxNamesDescribed; n > 0 {
		parts = append(parts[:maxNamesDescribed], fmt.Sprintf("and %d more", n))
	}
	return strings.Join(parts, ", ")
}
