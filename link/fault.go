package link

import (
	"errors"

	"github.com/carawaylanding/carawaylanding/contract"
)

// kinds are the error kinds that cross links.
var kinds = func() map[string]contract.Kind {
	all := []contract.Kind{
		contract.ErrBadRequest, contract.ErrInvalidTables, contract.ErrConflict,
		contract.ErrNoQuorum, contract.ErrInternal, contract.ErrKeyReused, contract.ErrDraining,
		contract.ErrEditUnknown, contract.ErrMembers,
	}
	m := make(map[string]contract.Kind, len(all))
	for _, k := range all {
		m[k.Name] = k
	}
	return m
}()

// NewFault turns an error into the reply that carries it.
func NewFault(err error) *contract.Fault {
	if e, ok := contract.AsError(err); ok {
		return &contract.Fault{Kind: e.Kind.Name, Message: e.Message}
	}
	return &contract.Fault{Message: err.Error()}
}

func faultError(f *contract.Fault) error {
	if k, ok := kinds[f.Kind]; ok {
		return k.With("%s", f.Message)
	}
	return errors.New(f.Message)
}
