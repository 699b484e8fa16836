package ledger

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// DefaultRetention is the default of Replica.Retention.
const DefaultRetention = 90 * 24 * time.Hour

// Replica is the ledger's replica on one control host.
type Replica struct {
	// Store holds this host's copy of the ledger.
	Store *Store
	// Peers are the replicas on the other control hosts.
	Peers map[contract.HostID]ReplicaClient
	// Retention is how long outcomes are stored.
	Retention time.Duration
	Log       logr.Logger
}

// Call handles a ledger message and returns the reply. It may wait for a disk sync.
// It implements ReplicaClient, so that an entry in the same process can use the
// replica directly.
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
			return nil, contract.ErrNoQuorum.WithRetryAfter(exchangeInterval, "the ledger of this control host is being filled")
		}
		rows, err := r.Store.Job(m.Job)
		if err != nil {
			return nil, contract.ErrInternal.With("ledger not read: %v", err)
		}
		return &contract.LedgerRows{Rows: rows}, nil
	case *contract.LedgerPull:
		batches, more, err := r.Store.MissingBatches(m.Have, r.cutoff())
		if err != nil {
			return nil, contract.ErrInternal.With("ledger not read: %v", err)
		}
		return &contract.LedgerBatches{Batches: batches, More: more, Filled: r.Store.Filled()}, nil
	}
	return nil, contract.ErrInternal.With("message kind %d is not for the ledger", m.MessageKind())
}

// Receive handles a message that arrived over a link. It returns the reply, or a
// Fault if Call fails.
func (r *Replica) Receive(ctx context.Context, m contract.Message) contract.Message {
	reply, err := r.Call(ctx, m)
	if err != nil {
		return link.NewFault(err)
	}
	return reply
}

// cutoff returns the time before which outcomes have expired.
func (r *Replica) cutoff() time.Time { return time.Now().Add(-r.Retention) }

// Intervals and timeouts of the replica.
const (
	// fillInterval is the time between exchanges with the peers while a new file
	// is being backfilled.
	fillInterval = 100 * time.Millisecond
	// exchangeInterval is the time between exchanges with the peers.
	exchangeInterval = 2 * time.Second
	// expireInterval is the time between searches for expired batches.
	expireInterval = time.Minute
	// pullTimeout limits one pull request.
	pullTimeout = 3 * time.Second
)

// Run exchanges batches with the peers and removes expired ones until ctx is
// done. A new file is backfilled first.
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

// Exchange pulls the missing batches from each peer. A new file counts as filled
// once it has all batches of enough peers; see hasBackfillQuorum.
func (r *Replica) Exchange(ctx context.Context) {
	pulled, filled := 0, 0
	for id, p := range r.Peers {
		peerFilled, err := r.pullAll(ctx, p)
		if err != nil {
			r.Log.V(1).Info("ledger pull failed", "peer", id, "err", err)
			continue
		}
		pulled++
		if peerFilled {
			filled++
		}
	}
	if r.Store.Filled() || !r.hasBackfillQuorum(pulled, filled) {
		return
	}
	if err := r.Store.SetFilled(); err != nil {
		r.Log.Error(err, "ledger not marked as filled", "remedy", "free space on the disk of the data folder or replace it")
	}
}

// hasBackfillQuorum reports whether a new file counts as filled. pulled is the number
// of peers whose batches were all pulled, and filled the number of those whose own
// file is filled. The pulled peers must include another member of every majority
// that this host may have been part of. If no pulled peer is filled and the pulled
// peers form a majority together with this host, the system is new and nothing was
// acknowledged yet.
func (r *Replica) hasBackfillQuorum(pulled, filled int) bool {
	members := len(r.Peers) + 1
	if filled == 0 && pulled+1 > members/2 {
		return true
	}
	return pulled >= min(len(r.Peers), members-members/2)
}

// pullAll pulls until the peer has no more missing batches, and reports whether
// the peer's file is filled.
func (r *Replica) pullAll(ctx context.Context, p ReplicaClient) (bool, error) {
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

// pull sends one LedgerPull and returns the reply.
func (r *Replica) pull(ctx context.Context, p ReplicaClient) (*contract.LedgerBatches, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := p.Call(ctx, &contract.LedgerPull{Have: r.Store.BatchSets()})
	if err != nil {
		return nil, err
	}
	m, ok := reply.(*contract.LedgerBatches)
	if !ok {
		return nil, contract.ErrInternal.With("unexpected reply %T", reply)
	}
	return m, nil
}

// expire removes the batches that are older than Retention, in small transactions
// so that appends can proceed in between.
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
