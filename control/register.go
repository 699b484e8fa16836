package control

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawaylanding/carawaylanding/contract"
)

// maxEditsKept bounds the edits whose first answer is kept.
const maxEditsKept = 1000

// Register is the value that the control hosts agree on.
type Register struct {
	Tables contract.Tables
	// Edits are the last edits, oldest first.
	Edits []EditRecord
}

// EditRecord is the first answer that an edit got.
type EditRecord struct {
	ID      contract.EditID
	Version contract.Version
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
func (r Register) apply(e contract.Edit) (Register, contract.Version, error) {
	for _, seen := range r.Edits {
		if seen.ID == e.ID {
			return r, seen.Version, nil
		}
	}
	if e.Base != r.Tables.Version {
		return r, 0, contract.ErrConflict.With("the edit was made from version %d; version %d is in force", e.Base, r.Tables.Version)
	}
	next, err := r.Tables.Apply(e)
	if err != nil {
		return r, 0, err
	}
	out := Register{Tables: next, Edits: append(r.Edits[:len(r.Edits):len(r.Edits)], EditRecord{ID: e.ID, Version: next.Version})}
	if n := len(out.Edits); n > maxEditsKept {
		out.Edits = out.Edits[n-maxEditsKept:]
	}
	return out, next.Version, nil
}
