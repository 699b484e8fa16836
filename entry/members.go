package entry

import (
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/dispatch"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/membership"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// members is the entry's shard of the upstreams' membership.
type members struct {
	mu    sync.Mutex // guards all below; takes no other lock
	dir   *membership.Directory
	swept time.Time
}

// sweepInterval is how often workers silent for long are looked for.
const sweepInterval = time.Minute

// update changes the directory and publishes its counts.
func (m *members) update(f func(*membership.Directory, time.Time)) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.dir, now)
	if now.Sub(m.swept) >= sweepInterval {
		m.swept = now
		m.dir.Sweep(now)
	}
	c := m.dir.Counts()
	metrics.UpstreamsJoined.Set(c.Joined)
	metrics.UpstreamsRestarted.Set(c.Restarted)
	metrics.UpstreamsLost.Set(c.Lost)
	metrics.UpstreamsDrained.Set(c.Drained)
	metrics.UpstreamsDamped.Set(c.Damped)
}

// MemberViews returns the upstreams by pool and failure domain.
func (e *Entry) MemberViews() []membership.View {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	return e.members.dir.Views(time.Now())
}

// admit gives an announced worker to its pools, or later where it was lost too
// often of late.
func (e *Entry) admit(w host.Worker, number uint64) {
	var wait time.Duration
	e.members.update(func(d *membership.Directory, now time.Time) { wait = d.Announced(w, now) })
	if wait > 0 {
		e.cfg.Log.Info("worker damped", "worker", w.Host, "for", wait, "remedy", "see why it is lost again and again")
		time.AfterFunc(wait, func() { e.admitAgain(w, number) })
		return
	}
	for _, p := range e.poolsOf(w) {
		e.step(p, dispatch.WorkerUp{Worker: w})
		e.replayGrant(p, w.Ref)
	}
}

// admitAgain admits a damped worker that is still on the same link.
func (e *Entry) admitAgain(w host.Worker, number uint64) {
	now, ok := e.worker(w.Ref)
	if ok && now.link != nil && now.number == number {
		e.admit(now.Worker, number)
	}
}

func (e *Entry) memberLost(ref host.Ref) {
	e.members.update(func(d *membership.Directory, now time.Time) { d.Lost(ref, now) })
}

func (e *Entry) memberDrained(ref host.Ref) {
	e.members.update(func(d *membership.Directory, now time.Time) { d.Draining(ref, now) })
}
