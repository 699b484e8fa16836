package ledger

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// DefaultRetention is how long outcomes are kept.
const DefaultRetention = 90 * 24 * time.Hour

// Replica is a control host's end of the ledger.
type Replica struct {
	// Store is this host's part of the ledger.
	Store *Store
	// Peers are the other control hosts.
	Peers map[contract.HostID]Holder
	// Retention is how long outcomes are kept.
	Retention time.Duration
	Log       logr.Logger
}

// Call answers a message of the ledger; it may wait for a sync. Replica is so
// the Holder of the entry in its own process.
func (r *Replica) Call(_ context.Context, m contract.Message) (contract.Message, error) {
	switch m := m.(type) {
	case *contract.LedgerAppend:
		if _, err := r.Store.Apply(m.Batches); err != nil {
			r.Log.Error(err, "outcomes not synced", "remedy", "free space on the disk of the data folder or replace it")
			return nil, contract.ErrInternal.With("outcomes not synced: %v", err)
		}
		return &contract.LedgerAppended{}, nil
	case *contract.LedgerRead:
		if !r.Store.Filled() {
			return nil, contract.ErrNoQuorum.Refuse(exchangeInterval, "the ledger of this control host is being filled")
		}
		rows, err := r.Store.Job(m.Job)
		if err != nil {
			return nil, contract.ErrInternal.With("ledger not read: %v", err)
		}
		return &contract.LedgerRows{Rows: rows}, nil
	case *contract.LedgerPull:
		batches, more, err := r.Store.Lacking(m.Held, r.cutoff())
		if err != nil {
			return nil, contract.ErrInternal.With("ledger not read: %v", err)
		}
		return &contract.LedgerBatches{Batches: batches, More: more, Filled: r.Store.Filled()}, nil
	}
	return nil, contract.ErrInternal.With("message kind %d is not for the ledger", m.MessageKind())
}

// Receive answers a message that came over a link.
func (r *Replica) Receive(ctx context.Context, m contract.Message) contract.Message {
	reply, err := r.Call(ctx, m)
	if err != nil {
		return link.NewFault(err)
	}
	return reply
}

func (r *Replica) cutoff() time.Time { return time.Now().Add(-r.Retention) }

// Waits of the replica.
const (
	// fillInterval is the time between two exchanges of a file that is not
	// filled yet.
	fillInterval = 100 * time.Millisecond
	// exchangeInterval is the time between two exchanges with the peers.
	exchangeInterval = 2 * time.Second
	// expireInterval is the time between two searches for expired rows.
	expireInterval = time.Minute
	// pullTimeout bounds one pull.
	pullTimeout = 3 * time.Second
)

// Run exchanges batches with the peers and removes expired ones until ctx is
// done.
func (r *Replica) Run(ctx context.Context) error {
	for !r.Store.Filled() && ctx.Err() == nil {
		r.Exchange(ctx)
		sleep(ctx, fillInterval)
	}
	exchange := time.NewTicker(exchangeInterval)
	defer exchange.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-exchange.C:
			r.Exchange(ctx)
		case <-expire.C:
			r.expire()
		}
	}
}

// Exchange pulls from each peer what this host lacks. A new file is filled
// once it has all that enough peers hold.
func (r *Replica) Exchange(ctx context.Context) {
	complete, filled := 0, 0
	for id, p := range r.Peers {
		peerFilled, err := r.pullAll(ctx, p)
		if err != nil {
			r.Log.V(1).Info("ledger pull failed", "peer", id, "err", err)
			continue
		}
		complete++
		if peerFilled {
			filled++
		}
	}
	if r.Store.Filled() || !r.enough(complete, filled) {
		return
	}
	if err := r.Store.SetFilled(); err != nil {
		r.Log.Error(err, "ledger not marked as filled", "remedy", "free space on the disk of the data folder or replace it")
	}
}

// enough reports whether a new file is filled after complete exchanges with
// so many peers, of which so many were filled. Of each majority that this host
// was part of, one other member must be among them; a majority of new files is
// a new system, in which nothing was acknowledged.
func (r *Replica) enough(complete, filled int) bool {
	members := len(r.Peers) + 1
	if filled == 0 && complete+1 > members/2 {
		return true
	}
	return complete >= min(len(r.Peers), members-members/2)
}

// pullAll pulls until nothing is left, and reports whether the peer's file is
// filled.
func (r *Replica) pullAll(ctx context.Context, p Holder) (bool, error) {
	for {
		m, err := r.pull(ctx, p)
		if err != nil {
			return false, err
		}
		n, err := r.Store.Apply(m.Batches)
		if err != nil {
			return false, err
		}
		metrics.LedgerBatchesPulled.Add(int64(n))
		if !m.More || n == 0 {
			return m.Filled, nil
		}
	}
}

func (r *Replica) pull(ctx context.Context, p Holder) (*contract.LedgerBatches, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := p.Call(ctx, &contract.LedgerPull{Held: r.Store.Held()})
	if err != nil {
		return nil, err
	}
	m, ok := reply.(*contract.LedgerBatches)
	if !ok {
		return nil, contract.ErrInternal.With("unexpected reply %T", reply)
	}
	return m, nil
}

// expire removes what is older than the retention time, step by step, so that
// appends go on between the steps.
func (r *Replica) expire() {
	for {
		more, err := r.Store.Expire(r.cutoff())
		if err != nil {
			r.Log.Error(err, "expired outcomes not removed", "remedy", "free space on the disk of the data folder or replace it")
			return
		}
		if !more {
			return
		}
	}
}
