package hub

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/durable"
)

// ErrNotLeader is returned for requests that only the leader can answer, while
// this hub does not hold the leader lease.
var ErrNotLeader = merry.New("this control host does not lead: ask the leader")

// LeaderAddr returns the link address of the leader, or an empty string if none is
// known or the hub has stopped.
func (h *Hub) LeaderAddr() string {
	ch := make(chan string, 1)
	h.post(func() { ch <- h.node.LeaderMember().Addr })
	select {
	case a := <-ch:
		return a
	case <-h.ctx.Done():
		return ""
	}
}

// PutTables replicates the queue tables. It returns nil once a majority has stored
// them or a newer version, ErrNotLeader if this hub does not lead or loses the
// leadership meanwhile, and ctx.Err() if ctx is done first. If the leadership was
// lost or ctx was done, the tables may still take effect.
func (h *Hub) PutTables(ctx context.Context, t *contract.QueueTables) error {
	ch := make(chan error, 1)
	h.post(func() { h.putTables(t, ch) })
	return awaitCommit(ctx, ch)
}

// awaitCommit returns the result of a proposal that ch delivers, or ctx.Err() if ctx is
// done first.
func awaitCommit(ctx context.Context, ch <-chan error) error {
	select {
	case err := <-ch:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Hub) putTables(t *contract.QueueTables, ch chan error) {
	if !h.holdsLeaderLease(boottime.Now()) {
		ch <- ErrNotLeader
		return
	}
	if t.Version <= h.state.Tables.Version {
		h.log.Info("tables ignored, version is not newer", "version", t.Version, "in_force", h.state.Tables.Version)
		ch <- nil
		return
	}
	p := h.leader.pending
	if p.batch.Tables == nil || p.batch.Tables.Version < t.Version {
		p.batch.Tables = t
	}
	p.waiters = append(p.waiters, ch)
}

// tablesChanged makes the accepted jobs follow their queues after a change of the tables.
func (h *Hub) tablesChanged(now time.Duration, changes durable.Changes) {
	rematched, stranded := len(changes.Rematched), 0
	for _, j := range changes.Rematched {
		if !h.leader.sched.JobRematched(now, j.ID).OK {
			stranded++
		}
	}
	for id, t := range h.leader.transients.jobs {
		if t.endedAt != 0 || !changes.Queues.Rematch(&t.job.DurableJob) {
			continue
		}
		rematched++
		admission := h.leader.sched.JobRematched(now, id)
		if !admission.OK && !t.mayHaveStarted && !h.leader.sched.Begun(id) {
			h.refuseTransient(t, admission)
		}
	}
	h.log.Info("tables in force", "version", h.state.Tables.Version, "queues", len(h.state.Tables.Queues), "dropped", len(h.state.Dropped),
		"rematched", rematched, "stranded", stranded)
}

// Tables returns the queue tables in force. It returns ErrNotLeader if this hub
// does not lead, and ctx.Err() if ctx is done first.
func (h *Hub) Tables(ctx context.Context) (contract.QueueTables, error) {
	return readAsLeader(ctx, h, func() contract.QueueTables { return h.state.Tables })
}

// readAsLeader returns what read returns in the event loop. It returns ErrNotLeader if
// the hub does not lead, and ctx.Err() if ctx is done first.
func readAsLeader[T any](ctx context.Context, h *Hub, read func() T) (T, error) {
	value, refused := make(chan T, 1), make(chan error, 1)
	h.post(func() {
		if h.holdsLeaderLease(boottime.Now()) {
			value <- read()
		} else {
			refused <- ErrNotLeader
		}
	})
	var none T
	select {
	case v := <-value:
		return v, nil
	case err := <-refused:
		return none, err
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// limitsOnClients returns the limits on the clients of entries in the tables in force.
func (h *Hub) limitsOnClients() contract.ClientLimits {
	if h.cfg.ReadClientLimits != nil && h.clientLimitsVersion != h.state.Tables.Version {
		h.clientLimitsVersion = h.state.Tables.Version
		h.clientLimits = h.cfg.ReadClientLimits(h.state.Tables.Document)
	}
	return h.clientLimits
}
