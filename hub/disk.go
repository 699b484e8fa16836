package hub

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/consensus"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// diskRetryDelay is the wait before a failed write is retried.
const diskRetryDelay = 100 * time.Millisecond

// writeRequest is a write to the log that the event loop has queued.
type writeRequest struct {
	record logRecord
	// rewrite, if set, replaces the contents of the log file; record is empty then.
	rewrite *consensus.StoredState
	// afterSync holds the messages to send once the write is synced.
	afterSync []contract.LogMessage
}

// diskWriter writes and syncs the log in its own goroutine. It combines queued
// writes into one record, which needs only one sync.
type diskWriter struct {
	log      logr.Logger
	store    *logStore
	onSynced func([]writeRequest)

	mu    sync.Mutex // guards queue
	queue []writeRequest
	wake  chan struct{} // has capacity 1; wakes run when queue is not empty
}

func newDiskWriter(log logr.Logger, s *logStore, onSynced func([]writeRequest)) *diskWriter {
	return &diskWriter{log: log, store: s, onSynced: onSynced, wake: make(chan struct{}, 1)}
}

// enqueue queues a write without waiting for it.
func (d *diskWriter) enqueue(w writeRequest) {
	d.mu.Lock()
	d.queue = append(d.queue, w)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// nextBatch removes from the queue the writes that one sync can cover, and returns
// them: all writes before the next rewrite, or the rewrite alone.
func (d *diskWriter) nextBatch() []writeRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for n < len(d.queue) && d.queue[n].rewrite == nil {
		n++
	}
	if n == 0 && len(d.queue) > 0 {
		n = 1
	}
	batch := d.queue[:n:n]
	d.queue = d.queue[n:]
	return batch
}

// run writes the queued requests in order until stop is closed. It retries a
// failed write until it succeeds, and calls onSynced after each successful one.
func (d *diskWriter) run(stop <-chan struct{}) {
	for {
		batch := d.nextBatch()
		if len(batch) == 0 {
			select {
			case <-stop:
				return
			case <-d.wake:
			}
			continue
		}
		for err := d.write(batch); err != nil; err = d.write(batch) {
			d.log.Error(err, "log write failed, retrying: nothing is acknowledged until the disk accepts writes")
			select {
			case <-stop:
				return
			case <-time.After(diskRetryDelay):
			}
		}
		d.onSynced(batch)
	}
}

// write writes and syncs a batch that nextBatch returned.
func (d *diskWriter) write(batch []writeRequest) error {
	if batch[0].rewrite != nil {
		return d.store.rewrite(*batch[0].rewrite)
	}
	var merged logRecord
	for _, w := range batch {
		if w.record.Hard != nil {
			merged.Hard = w.record.Hard
		}
		merged.Entries = append(merged.Entries, w.record.Entries...)
	}
	if merged.Hard == nil && len(merged.Entries) == 0 {
		return nil
	}
	startedAt := time.Now()
	defer func() { telemetry.SyncSeconds.Observe(time.Since(startedAt).Seconds()) }()
	return d.store.write(&merged)
}
