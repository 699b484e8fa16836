package entry

import (
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/membership"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// members holds the directory of the workers that have announced themselves to
// this entry.
type members struct {
	mu        sync.Mutex // guards the fields below; no other lock is acquired while it is held
	directory *membership.Directory
	lastSweep time.Time
}

// sweepInterval is the interval at which workers that have been disconnected
// for long are removed from the directory.
const sweepInterval = time.Minute

// update applies f to the directory, sweeps it if sweepInterval has passed, and
// publishes its counts.
func (m *members) update(f func(*membership.Directory, time.Time)) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.directory, now)
	if now.Sub(m.lastSweep) >= sweepInterval {
		m.lastSweep = now
		m.directory.Sweep(now)
	}
	c := m.directory.EventCounts()
	metrics.UpstreamsJoined.Set(c.Joined)
	metrics.UpstreamsRestarted.Set(c.Restarted)
	metrics.UpstreamsLost.Set(c.Lost)
	metrics.UpstreamsDrained.Set(c.Drained)
	metrics.UpstreamsDamped.Set(c.Damped)
}

// WorkerCounts returns the numbers of workers by pool and failure domain.
func (e *Entry) WorkerCounts() []membership.WorkerCounts {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	return e.members.directory.WorkerCounts(time.Now())
}

// admitWorker adds an announced worker to its pools. A worker that was lost too
// often recently is damped: it is added after a delay.
func (e *Entry) admitWorker(w host.Worker, linkNumber uint64) {
	var wait time.Duration
	e.members.update(func(d *membership.Directory, now time.Time) { wait = d.Announced(w, now) })
	if wait > 0 {
		e.cfg.Log.Info("worker damped", "worker", w.Host, "for", wait, "remedy", "find out why the worker disconnects repeatedly")
		time.AfterFunc(wait, func() { e.readmitWorker(w, linkNumber) })
		return
	}
	for _, p := range e.poolsOf(w) {
		e.step(p, dispatch.WorkerUp{Worker: w})
		e.replayGrant(p, w.Ref)
	}
}

// readmitWorker admits a damped worker if it is still connected by the same
// link.
func (e *Entry) readmitWorker(w host.Worker, linkNumber uint64) {
	current, ok := e.worker(w.Ref)
	if ok && current.link != nil && current.linkNumber == linkNumber {
		e.admitWorker(current.Worker, linkNumber)
	}
}

func (e *Entry) memberLost(ref host.Ref) {
	e.members.update(func(d *membership.Directory, now time.Time) { d.Lost(ref, now) })
}

func (e *Entry) memberDraining(ref host.Ref) {
	e.members.update(func(d *membership.Directory, now time.Time) { d.Draining(ref, now) })
}
