package link

import (
	"errors"

	"github.com/carawaylanding/carawaylanding/contract"
)

// kindsByName holds, by name, the error kinds that faultError restores from a Fault.
var kindsByName = func() map[string]contract.ErrorKind {
	kinds := []contract.ErrorKind{
		contract.ErrBadRequest, contract.ErrInvalidTables, contract.ErrConflict,
		contract.ErrNoQuorum, contract.ErrInternal, contract.ErrKeyReused, contract.ErrDraining,
		contract.ErrEditUnknown, contract.ErrMembers,
	}
	m := make(map[string]contract.ErrorKind, len(kinds))
	for _, k := range kinds {
		m[k.Name] = k
	}
	return m
}()

// NewFault returns the reply that carries err to the peer. Of a contract.Error, only
// the kind and the message are kept.
func NewFault(err error) *contract.Fault {
	if e, ok := contract.AsError(err); ok {
		return &contract.Fault{Kind: e.Kind.Name, Message: e.Message}
	}
	return &contract.Fault{Message: err.Error()}
}

// faultError returns the error that a Fault carries. It is a contract.Error if the
// kind is in kindsByName.
func faultError(f *contract.Fault) error {
	if k, ok := kindsByName[f.Kind]; ok {
		return k.With("%s", f.Message)
	}
	return errors.New(f.Message)
}
