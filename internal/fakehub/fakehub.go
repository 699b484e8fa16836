// Package fakehub provides a fake of the hub's calls for operators.
package fakehub

import (
	"context"
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/hub"
)

// Hub knows the failure domains in Known. If Err is set, all calls fail with it.
type Hub struct {
	Known     []string
	Evacuated []string
	Err       error
	// Leader is the link address that LeaderAddr returns.
	Leader string
}

// BeginEvacuation adds the domain to Evacuated.
func (h *Hub) BeginEvacuation(ctx context.Context, domain string) error {
	err := h.EndEvacuation(ctx, domain)
	if err == nil {
		h.Evacuated = append(h.Evacuated, domain)
	}
	return err
}

// EndEvacuation removes the domain from Evacuated.
func (h *Hub) EndEvacuation(_ context.Context, domain string) error {
	if h.Err != nil {
		return h.Err
	}
	if !slices.Contains(h.Known, domain) {
		return hub.ErrUnknownDomain
	}
	h.Evacuated = slices.DeleteFunc(h.Evacuated, func(d string) bool { return d == domain })
	return nil
}

// Evacuations returns Evacuated.
func (h *Hub) Evacuations(context.Context) ([]string, error) { return h.Evacuated, h.Err }

// PutTables does nothing.
func (h *Hub) PutTables(context.Context, *contract.QueueTables) error { return h.Err }

// Tables returns no tables.
func (h *Hub) Tables(context.Context) (contract.QueueTables, error) {
	return contract.QueueTables{}, h.Err
}

// LeaderAddr returns Leader.
func (h *Hub) LeaderAddr() string { return h.Leader }
