package hub

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
)

// ErrNotLeader says that another hub has to be asked.
var ErrNotLeader = merry.New("this control host does not lead: ask the leader")

// Leader returns the link address of the leader, or an empty string.
func (h *Hub) Leader() string {
	ch := make(chan string, 1)
	h.post(func() { ch <- h.node.LeaderMember().Addr })
	select {
	case a := <-ch:
		return a
	case <-h.ctx.Done():
		return ""
	}
}

// PutTables stores the tables. It returns nil once a majority has stored them
// or newer ones.
func (h *Hub) PutTables(ctx context.Context, t *contract.QueueTables) error {
	ch := make(chan error, 1)
	h.post(func() { h.putTables(t, ch) })
	select {
	case err := <-ch:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Hub) putTables(t *contract.QueueTables, ch chan error) {
	if !h.leads(boottime.Now()) {
		ch <- ErrNotLeader
		return
	}
	if t.Version <= h.state.Tables.Version {
		h.log.Info("tables known already", "version", t.Version, "in_force", h.state.Tables.Version)
		ch <- nil
		return
	}
	p := h.lead.open
	if p.batch.Tables == nil || p.batch.Tables.Version < t.Version {
		p.batch.Tables = t
	}
	p.tables = append(p.tables, ch)
}

// Tables returns the newest tables.
func (h *Hub) Tables(ctx context.Context) (contract.QueueTables, error) {
	tables := make(chan contract.QueueTables, 1)
	refused := make(chan error, 1)
	h.post(func() {
		if h.leads(boottime.Now()) {
			tables <- h.state.Tables
		} else {
			refused <- ErrNotLeader
		}
	})
	select {
	case t := <-tables:
		return t, nil
	case err := <-refused:
		return contract.QueueTables{}, err
	case <-ctx.Done():
		return contract.QueueTables{}, ctx.Err()
	}
}
