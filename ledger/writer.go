package ledger

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// ReplicaClient is a client of the ledger's replica on one control host.
type ReplicaClient interface {
	// Call sends a ledger message to the replica and returns its reply.
	Call(ctx context.Context, m contract.Message) (contract.Message, error)
}

// Writer writes an entry's outcomes to the ledger. Record queues an outcome
// without blocking. One goroutine for each control host sends the batches that the
// host has not acknowledged. Writer is safe for concurrent use.
type Writer struct {
	replicas map[contract.HostID]ReplicaClient

	mu     sync.Mutex // guards outbox
	outbox *Outbox
	// wake holds, for each control host, a channel that signals new records to the
	// goroutine of that host. The map is not modified after NewWriter.
	wake map[contract.HostID]chan struct{}
}

// NewWriter returns a writer to the given replicas. It is full once it has
// maxPending uncommitted records. Run must be called to send records.
func NewWriter(origin contract.LedgerOrigin, replicas map[contract.HostID]ReplicaClient, maxPending int) *Writer {
	w := &Writer{
		replicas: replicas,
		outbox:   NewOutbox(origin, len(replicas), maxPending),
		wake:     make(map[contract.HostID]chan struct{}, len(replicas)),
	}
	for id := range replicas {
		w.wake[id] = make(chan struct{}, 1)
	}
	return w
}

// Record queues an outcome for all control hosts.
func (w *Writer) Record(r contract.OutcomeRecord) {
	metrics.OutcomesRecorded.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outbox.Add(r)
	for _, ch := range w.wake {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// Full reports whether new work must be refused until a majority of the control
// hosts has acknowledged more records.
func (w *Writer) Full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outbox.Full()
}

// Pending returns the number of records that a majority has not acknowledged yet.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outbox.Pending()
}

// Delays, intervals and timeouts of the writer.
const (
	// batchDelay is how long a goroutine waits after a new record before it sends,
	// so that one batch collects several records.
	batchDelay = 5 * time.Millisecond
	// retryDelay is the time between a failed append and the next attempt.
	retryDelay = 250 * time.Millisecond
	// AppendTimeout limits one append. A disk sync may take 1 to 2 s under load.
	AppendTimeout = 3 * time.Second
	// flushPollInterval and syncPollInterval are the intervals at which Flush and
	// Sync check for acknowledgements.
	flushPollInterval = 10 * time.Millisecond
	syncPollInterval  = 2 * time.Millisecond
)

// Run sends records to all control hosts until ctx is done.
func (w *Writer) Run(ctx context.Context) error {
	var g errgroup.Group
	for id, r := range w.replicas {
		g.Go(func() error {
			w.sendLoop(ctx, id, r)
			return nil
		})
	}
	return g.Wait()
}

// Flush waits until a majority has acknowledged every record, or until ctx is
// done. In the latter case it returns the error of ctx.
func (w *Writer) Flush(ctx context.Context) error {
	for w.Pending() > 0 {
		if err := sleep(ctx, flushPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// Sync waits until a majority has acknowledged every record that was queued before
// the call, or until ctx is done. In the latter case it returns the error of ctx.
func (w *Writer) Sync(ctx context.Context) error {
	w.mu.Lock()
	seq := w.outbox.Seal(time.Now())
	w.mu.Unlock()
	for !w.Committed(seq) {
		if err := sleep(ctx, syncPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// Position returns the position of the record queued last, for Committed.
func (w *Writer) Position() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outbox.Position()
}

// Committed reports whether a majority has acknowledged every record up to the
// position.
func (w *Writer) Committed(position uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outbox.CommittedThrough(position)
}

// sendLoop sends batches to one control host whenever there are new records, until
// ctx is done.
func (w *Writer) sendLoop(ctx context.Context, id contract.HostID, r ReplicaClient) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake[id]:
		}
		if sleep(ctx, batchDelay) != nil {
			return
		}
		for w.sendNext(ctx, id, r) {
		}
	}
}

// sendNext sends one append, and reports whether there may be more to send. After
// a failed append it waits for retryDelay.
func (w *Writer) sendNext(ctx context.Context, id contract.HostID, r ReplicaClient) bool {
	w.mu.Lock()
	batches := w.outbox.Next(time.Now(), id)
	w.mu.Unlock()
	if len(batches) == 0 || ctx.Err() != nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	reply, err := r.Call(callCtx, &contract.LedgerAppend{Batches: batches})
	if _, ok := reply.(*contract.LedgerAppended); err != nil || !ok {
		metrics.LedgerAppendsFailed.Add(1)
		return sleep(ctx, retryDelay) == nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outbox.Acked(id, batches)
	return true
}

// sleep waits for d, or returns the error of ctx if ctx is done first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
