package hub

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/consensus"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// diskRetry is the wait after a write that the disk refused.
const diskRetry = 100 * time.Millisecond

// diskWork is what one turn of the loop wants synced.
type diskWork struct {
	rec record
	// rewrite replaces the file; rec is empty then.
	rewrite *consensus.Stored
	after   []contract.LogMessage
}

// diskWriter syncs in its own goroutine. All work that waits is written with
// one sync.
type diskWriter struct {
	log   logr.Logger
	store *store
	done  func([]diskWork)

	mu    sync.Mutex // guards queue
	queue []diskWork
	wake  chan struct{}
}

func newDiskWriter(log logr.Logger, s *store, done func([]diskWork)) *diskWriter {
	return &diskWriter{log: log, store: s, done: done, wake: make(chan struct{}, 1)}
}

func (d *diskWriter) add(w diskWork) {
	d.mu.Lock()
	d.queue = append(d.queue, w)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// take returns the work that one sync can cover: up to a rewrite, or one.
func (d *diskWriter) take() []diskWork {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for n < len(d.queue) && d.queue[n].rewrite == nil {
		n++
	}
	if n == 0 && len(d.queue) > 0 {
		n = 1
	}
	out := d.queue[:n:n]
	d.queue = d.queue[n:]
	return out
}

func (d *diskWriter) run(stop <-chan struct{}) {
	for {
		work := d.take()
		if len(work) == 0 {
			select {
			case <-stop:
				return
			case <-d.wake:
			}
			continue
		}
		for err := d.sync(work); err != nil; err = d.sync(work) {
			d.log.Error(err, "state not synced: nothing is acknowledged until the disk takes writes again")
			select {
			case <-stop:
				return
			case <-time.After(diskRetry):
			}
		}
		d.done(work)
	}
}

func (d *diskWriter) sync(work []diskWork) error {
	if work[0].rewrite != nil {
		return d.store.rewrite(*work[0].rewrite)
	}
	var all record
	for _, w := range work {
		if w.rec.Hard != nil {
			all.Hard = w.rec.Hard
		}
		all.Entries = append(all.Entries, w.rec.Entries...)
	}
	if all.Hard == nil && len(all.Entries) == 0 {
		return nil
	}
	began := time.Now()
	defer func() { telemetry.SyncSeconds.Observe(time.Since(began).Seconds()) }()
	return d.store.write(&all)
}
