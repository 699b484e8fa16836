package ledger

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// Holder reaches a control host's replica.
type Holder interface {
	Call(ctx context.Context, m contract.Message) (contract.Message, error)
}

// Writer is an entry's end of the ledger: Record takes an outcome without
// waiting, and one goroutine for each control host sends what that host lacks.
type Writer struct {
	holders map[contract.HostID]Holder

	mu   sync.Mutex // guards box and wake
	box  *Outbox
	wake map[contract.HostID]chan struct{}
}

// NewWriter returns a writer to the given control hosts.
func NewWriter(origin contract.LedgerOrigin, holders map[contract.HostID]Holder, maxPending int) *Writer {
	w := &Writer{
		holders: holders,
		box:     NewOutbox(origin, len(holders), maxPending),
		wake:    make(map[contract.HostID]chan struct{}, len(holders)),
	}
	for id := range holders {
		w.wake[id] = make(chan struct{}, 1)
	}
	return w
}

// Record takes an outcome.
func (w *Writer) Record(r contract.OutcomeRecord) {
	metrics.OutcomesRecorded.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.box.Add(r)
	for _, ch := range w.wake {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// Full reports whether new work must be refused until control hosts
// acknowledge.
func (w *Writer) Full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.box.Full()
}

// Pending returns the number of records that lack a majority.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.box.Pending()
}

// Waits of the writer.
const (
	// gatherWait is how long outcomes gather into one batch.
	gatherWait = 5 * time.Millisecond
	// resendWait is the wait before a batch without an answer is sent again.
	resendWait = 250 * time.Millisecond
	// AppendTimeout bounds one append: a disk under load may take a second or
	// two for a sync.
	AppendTimeout = 3 * time.Second
	// flushPoll is how often Flush looks, and syncPoll how often Sync does.
	flushPoll = 10 * time.Millisecond
	syncPoll  = 2 * time.Millisecond
)

// Run sends until ctx is done.
func (w *Writer) Run(ctx context.Context) error {
	var g errgroup.Group
	for id, h := range w.holders {
		g.Go(func() error {
			w.feed(ctx, id, h)
			return nil
		})
	}
	return g.Wait()
}

// Flush waits until a majority holds every record, or until ctx is done.
func (w *Writer) Flush(ctx context.Context) error {
	for w.Pending() > 0 {
		if err := sleep(ctx, flushPoll); err != nil {
			return err
		}
	}
	return nil
}

// Sync waits until a majority holds every record that was taken before, or
// until ctx is done.
func (w *Writer) Sync(ctx context.Context) error {
	w.mu.Lock()
	seq := w.box.Mark(time.Now())
	w.mu.Unlock()
	for !w.Safe(seq) {
		if err := sleep(ctx, syncPoll); err != nil {
			return err
		}
	}
	return nil
}

// Position returns the position of the last record that was taken.
func (w *Writer) Position() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.box.Position()
}

// Safe reports whether a majority holds every record up to the position.
func (w *Writer) Safe(seq uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.box.SafeThrough(seq)
}

func (w *Writer) feed(ctx context.Context, id contract.HostID, h Holder) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake[id]:
		}
		if sleep(ctx, gatherWait) != nil {
			return
		}
		for w.sendNext(ctx, id, h) {
		}
	}
}

// sendNext sends one append, and reports whether there may be more to send.
func (w *Writer) sendNext(ctx context.Context, id contract.HostID, h Holder) bool {
	w.mu.Lock()
	batches := w.box.Next(time.Now(), id)
	w.mu.Unlock()
	if len(batches) == 0 || ctx.Err() != nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	reply, err := h.Call(callCtx, &contract.LedgerAppend{Batches: batches})
	if _, ok := reply.(*contract.LedgerAppended); err != nil || !ok {
		metrics.LedgerAppendsFailed.Add(1)
		return sleep(ctx, resendWait) == nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.box.Acked(id, batches)
	return true
}

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
