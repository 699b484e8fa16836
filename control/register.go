package control

import (
	"fmt"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawaylanding/carawaylanding/contract"
)

// maxRecordedEdits is the maximum number of records in Register.Edits. They are
// kept so that an edit that is sent again gets the same answer.
const maxRecordedEdits = 500

// Register is the value that the control hosts agree on. It is encoded with
// msgpack, each struct as a map: the names of exported fields are part of the
// stored format.
type Register struct {
	// Tables holds the tables and the group of control hosts.
	Tables contract.Tables
	// Edits holds the records of the most recent edits and membership changes, oldest
	// first.
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

// apply returns the register after the edit and the version that the edit produced.
// If the edit was applied before, the register is unchanged and the version is the
// one that the edit produced then.
func (r Register) apply(e contract.Edit, at time.Time) (Register, contract.Version, error) {
	for _, applied := range r.Edits {
		if applied.ID == e.ID {
			return r, applied.Version, nil
		}
	}
	if e.Base != r.Tables.Version {
		return r, 0, r.conflictError(e)
	}
	next, err := r.Tables.Apply(e)
	if err != nil {
		return r, 0, err
	}
	return r.withTables(next, contract.EditRecord{ID: e.ID, At: at, Change: describeEdit(e)}), next.Version, nil
}

// conflictError returns the error for an edit whose base is not the current
// version: ErrEditUnknown if the edit may have been accepted so long ago that its
// record was removed, and ErrConflict if it certainly was not accepted.
func (r Register) conflictError(e contract.Edit) error {
	mayBeRemoved := len(r.Edits) > 0 && e.Base+1 < r.Edits[0].Version
	if mayBeRemoved {
		return contract.ErrEditUnknown.With("the edit was made from version %d; whether it was accepted is no longer known: compare the tables of version %d with it", e.Base, r.Tables.Version)
	}
	return contract.ErrConflict.With("the edit was made from version %d; version %d is in force", e.Base, r.Tables.Version)
}

// withTables returns the register with the next tables and the record of the edit
// that produced them. It drops the oldest record if there are too many.
func (r Register) withTables(next contract.Tables, rec contract.EditRecord) Register {
	rec.Version = next.Version
	edits := append(r.Edits[:len(r.Edits):len(r.Edits)], rec)
	if n := len(edits) - maxRecordedEdits; n > 0 {
		edits = edits[n:]
	}
	return Register{Tables: next, Edits: edits}
}

// withGroup returns the register with another group of members and the next version
// of the tables.
func (r Register) withGroup(g contract.Group, change string, at time.Time) Register {
	next := r.Tables.Clone()
	next.Version++
	g.Version = next.Version
	next.Group = g
	return r.withTables(next, contract.EditRecord{At: at, Change: change})
}

// maxDescribedChanges is the number of changed rows that the record of an edit
// names.
const maxDescribedChanges = 8

// describeEdit returns the description of an edit that is stored in its record.
func describeEdit(e contract.Edit) string {
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
	if n := len(parts) - maxDescribedChanges; n > 0 {
		parts = append(parts[:maxDescribedChanges], fmt.Sprintf("and %d more", n))
	}
	return strings.Join(parts, ", ")
}
