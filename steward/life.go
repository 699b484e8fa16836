package steward

import (
	"context"
	"errors"
	"time"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

const (
	// holdWait is how long a call to the worker may wait for an end; it must
	// leave time for two more calls within a lease.
	holdWait = 50 * time.Millisecond
	// callTimeout bounds a call to the worker, beyond the wait that it asks for.
	// The worker is on this machine and answers within a millisecond or two;
	// a lost answer is to be noticed before the shortest tasks should have
	// ended.
	callTimeout = 50 * time.Millisecond
	// startMargin is how much longer than the next calls a lease must last
	// before a run is started under it.
	startMargin = 150 * time.Millisecond
	// pollEvery is the wait between two looks while ends are not noted yet:
	// the worker answers at once then.
	pollEvery = 4 * time.Millisecond
	// retryEvery is the wait after a call that failed.
	retryEvery = 20 * time.Millisecond
	// clockSlack is added to the end of a lease by the worker's own clock, of
	// which an estimate may be a few milliseconds behind.
	clockSlack = 20 * time.Millisecond
	// lapseSlack is added to the end of a lease for late timers and the stop.
	lapseSlack = 100 * time.Millisecond
	// maxRefusals is how many connections must be refused in a row before the
	// worker counts as ended.
	maxRefusals = 3
)

// phase is what is known of a run.
type phase uint8

const (
	phaseStarting phase = iota
	phaseRunning
	// phaseBarred: a stop was answered; the next list shows whether it ran.
	phaseBarred
)

// run is a run that is, or may be, on the worker.
type run struct {
	ref   contract.RunRef
	need  contract.Demand
	phase phase
	// barredAt is the count of calls for lists when the stop was answered.
	barredAt uint64
	stopping bool
	// unanswered says that the order to start got no answer.
	unanswered bool
}

// life is one life of the worker.
type life struct {
	s      *Steward
	id     contract.HostID
	calls  Worker
	ctx    context.Context
	cancel context.CancelFunc

	// All below is guarded by the steward's lock.
	worker contract.WorkerAnnouncement
	live   bool
	// lapse asks for the lease to run out and the session to end.
	lapse bool
	runs  map[NamedRun]*run
	names map[contract.RunRef]NamedRun
	// ends are those not yet noted at the worker.
	ends []contract.RunEnded
	// listed is the last end that was taken from a list; noted may be noted
	// at the worker.
	listed, noted uint64
	// holds counts the calls that ask for lists.
	holds uint64
	// strays are unknown runs that are being stopped.
	strays map[NamedRun]bool
	// bars counts stops without an answer.
	bars int
	// clock and clockAt give the worker's clock.
	clock   int64
	clockAt time.Duration
	// confirmed is the end of the lease that the worker is known to hold;
	// attempted is the latest that it may hold.
	confirmed, attempted int64
	// pending are orders that wait until the lease is known to be held.
	pending []contract.RunStart
	wake    chan struct{}
}

func newLife(s *Steward, a contract.WorkerAnnouncement) *life {
	l := &life{s: s, id: a.ID, worker: a, calls: s.cfg.Connect(a), wake: make(chan struct{}, 1)}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	l.clear()
	return l
}

func (l *life) clear() {
	l.runs = map[NamedRun]*run{}
	l.names = map[contract.RunRef]NamedRun{}
	l.strays = map[NamedRun]bool{}
	l.ends = nil
	l.pending = nil
	l.lapse = false
}

// end ends the life. The lock is held.
func (l *life) end(why string) {
	l.s.log.Info("worker ended", "worker", l.id, "why", why, "runs", len(l.runs))
	l.live = false
	l.cancel()
}

// describe fills in a report. The lock is held.
func (l *life) describe(r *contract.WorkerReport) {
	r.Gone = false
	r.Worker = l.worker
	for _, st := range l.pending {
		r.Running = append(r.Running, st.HeldRun)
	}
	for _, x := range l.runs {
		r.Running = append(r.Running, contract.HeldRun{RunRef: x.ref, Need: x.need})
	}
	r.Ends = l.ends
}

// now returns an estimate of the worker's clock that is not ahead of it. The
// lock is held.
func (l *life) now() int64 {
	return l.clock + int64((boottime.Now()-l.clockAt)/time.Millisecond)
}

func (l *life) setClock(clock int64) {
	l.clock, l.clockAt = clock, boottime.Now()
}

// run serves the life until it ends.
func (l *life) run() error {
	defer l.calls.Close()
	for l.ctx.Err() == nil {
		if !l.recover() {
			break
		}
		l.serve()
		l.letLapse()
	}
	return nil
}

func (l *life) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-l.ctx.Done():
	case <-t.C:
	case <-l.wake:
	}
}

func (l *life) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// recover brings the worker to where nothing runs on it and no end of before
// counts, then begins a session. It returns false when the life is over.
func (l *life) recover() bool {
	for l.ctx.Err() == nil {
		held, err := l.look(HoldCall{Seen: l.notedSoFar()})
		if err != nil {
			l.sleep(retryEvery)
			continue
		}
		if len(held.Running) == 0 && (len(held.Ended) == 0 || l.lapsed(held)) && l.begin(held) {
			return true
		}
		l.sleep(retryEvery)
	}
	return false
}

// lapsed reports whether the lease has run out for certain since the last end.
// An earlier process may have extended it just before the first look; runs
// that it left are not stopped, since their lapse is the proof.
func (l *life) lapsed(held Held) bool {
	if held.Ended[len(held.Ended)-1].How == contract.EndLapsed {
		return true
	}
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	return held.Clock > l.attempted+clockSlack.Milliseconds()
}

// longestLease is the latest end of a lease that an earlier process may have
// left behind, after its own end.
func (l *life) longestLease() time.Duration { return min(l.s.cfg.Lease, l.s.cfg.Authority) }

func (l *life) notedSoFar() uint64 {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	return l.noted
}

// begin starts a session unless a stop is still without an answer.
func (l *life) begin(held Held) bool {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if l.bars > 0 || l.ctx.Err() != nil {
		return false
	}
	l.clear()
	for _, e := range held.Ended {
		l.listed = max(l.listed, e.Seq)
	}
	l.noted = l.listed
	l.live = true
	l.confirmed = 0
	telemetry.Sessions.Inc()
	l.s.log.Info("session begins", "worker", l.id, "void_ends", len(held.Ended))
	l.s.newSession()
	return true
}

// look calls the worker with the present fencing token. Before a leader is
// known there is none: the refusal of such a call still tells the worker's
// clock.
func (l *life) look(c HoldCall) (Held, error) {
	l.s.mu.Lock()
	c.Token = l.s.term
	l.s.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, c.Wait+callTimeout)
	defer cancel()
	held, err := l.calls.Hold(ctx, c)
	if err == nil || errors.Is(err, ErrFenced) && held.Clock > 0 {
		l.s.mu.Lock()
		l.setClock(held.Clock)
		if l.attempted == 0 {
			l.attempted = held.Clock + l.longestLease().Milliseconds()
		}
		l.s.mu.Unlock()
	}
	if err == nil && c.Token == 0 {
		err = ErrNoLeader
	}
	if err != nil {
		l.s.log.V(1).Info("worker not held", "worker", l.id, "err", err)
	}
	return held, err
}

// serve extends the lease and takes lists until the session is to end.
func (l *life) serve() {
	refused := 0
	answered := true
	for l.ctx.Err() == nil {
		c, number, ok := l.nextHold(answered)
		if !ok {
			return
		}
		if number == 0 {
			l.sleep(retryEvery)
			continue
		}
		held, err := l.look(c)
		answered = err == nil
		switch {
		case errors.Is(err, ErrOtherLife):
			l.over("another life answered")
			return
		case errors.Is(err, ErrNotListening):
			if refused++; refused >= maxRefusals {
				l.over("no process listens")
				return
			}
		case err == nil:
			refused = 0
			l.take(held, c, number)
			if l.unnoted() {
				l.sleep(pollEvery)
			}
			continue
		}
		l.sleep(retryEvery)
	}
}

// nextHold returns the next call and its number; false when the session is to
// end. The number is zero when there is nothing to hold and no authority to.
// While the worker does not answer, its lease is not extended, and the session
// ends with it.
func (l *life) nextHold(answered bool) (HoldCall, uint64, bool) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if !l.lapse && l.s.authority <= boottime.Now() {
		if l.nothingToLose() && l.bars == 0 {
			return HoldCall{}, 0, true
		}
		l.s.log.Info("authority lost: the lease runs out", "worker", l.id, "runs", len(l.runs))
		l.lapse = true
	}
	if !answered && l.now() > l.confirmed && !l.nothingToLose() {
		l.s.log.Info("worker silent: the lease runs out", "worker", l.id, "runs", len(l.runs))
		l.lapse = true
	}
	if l.lapse {
		return HoldCall{}, 0, false
	}
	l.holds++
	if !answered {
		return HoldCall{Seen: l.noted}, l.holds, true
	}
	c := HoldCall{Seen: l.noted, Deadline: l.deadline()}
	if len(l.ends) == 0 && l.bars == 0 && l.leaseHeld() {
		c.Wait = holdWait
	}
	return c, l.holds, true
}

// leaseHeld reports whether the worker is known to hold a lease that outlasts
// the next calls. Without, a start could end before a list shows whether the
// lease held all the time. The lock is held.
func (l *life) leaseHeld() bool {
	return l.confirmed-l.now() > startMargin.Milliseconds()
}

// nothingToLose reports whether no run and no end would be void without the
// lease. The lock is held.
func (l *life) nothingToLose() bool {
	for _, r := range l.runs {
		if r.phase != phaseStarting {
			return false
		}
	}
	return len(l.ends) == 0
}

// deadline returns the end of a lease given now: it never outlives the
// leader's authority, so that a leader knows when nothing runs on a worker out
// of reach. The lock is held.
func (l *life) deadline() int64 {
	ahead := min(l.s.cfg.Lease, l.s.authority-boottime.Now())
	d := l.now() + ahead.Milliseconds()
	l.attempted = max(l.attempted, d)
	return d
}

func (l *life) unnoted() bool {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	return len(l.ends) > 0 || l.bars > 0
}

// over ends the life after the worker has certainly ended.
func (l *life) over(why string) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if l.s.life != l {
		return
	}
	l.end(why)
	l.s.life = nil
	l.s.newSession()
}

// letLapse waits until the lease has run out for certain.
func (l *life) letLapse() {
	l.s.mu.Lock()
	l.live = false
	left := max(l.attempted-l.now(), 0)
	l.s.mu.Unlock()
	wait := time.Duration(left) * time.Millisecond
	until := boottime.Now() + wait + wait/contract.WorkerClockError + lapseSlack
	for l.ctx.Err() == nil && boottime.Now() < until {
		l.sleep(until - boottime.Now())
	}
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	l.noted = l.listed
	l.clear()
	if l.s.life == l {
		// Nothing runs any more: the leader need not wait for the worker.
		l.s.newSession()
	}
}

// take takes the worker's lists, which answer the call with the number: a run
// whose stop was answered before that call is settled by them.
func (l *life) take(held Held, c HoldCall, number uint64) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	running := make(map[NamedRun]bool, len(held.Running))
	for _, r := range held.Running {
		running[r] = true
	}
	if !l.unbroken(held, running) {
		l.s.log.Info("the lease may have run out: a new session", "worker", l.id, "clock", held.Clock, "confirmed", l.confirmed)
		l.lapse = true
		return
	}
	l.confirmed = max(l.confirmed, c.Deadline)
	fresh := l.takeEnds(held.Ended)
	fresh = append(fresh, l.settleBarred(running, number)...)
	l.dropNoted(c.Seen)
	l.startedOrStray(held.Running)
	if len(fresh) > 0 {
		l.s.send(&contract.WorkerEnds{Session: l.s.session, Ends: fresh})
	}
	pending := l.pending
	l.pending = nil
	for _, st := range pending {
		l.start(st)
	}
}

// unbroken reports whether the lease certainly did not run out since the last
// list: the worker's clock has not passed its end, something that ran still
// runs, or there was nothing to lose. The lock is held.
func (l *life) unbroken(held Held, running map[NamedRun]bool) bool {
	if held.Clock <= l.confirmed || l.nothingToLose() {
		return true
	}
	for name, r := range l.runs {
		if r.phase == phaseRunning && running[name] {
			return true
		}
	}
	return false
}

// takeEnds takes ends that were not listed before. The lock is held.
func (l *life) takeEnds(ended []EndedRun) []contract.RunEnded {
	var fresh []contract.RunEnded
	for _, e := range ended {
		if e.Seq <= l.listed {
			continue
		}
		l.listed = e.Seq
		telemetry.RunsEnded.WithLabelValues(e.How.String()).Inc()
		end := contract.RunEnded{Seq: e.Seq, How: e.How}
		if r := l.runs[e.NamedRun]; r != nil {
			end.RunRef = r.ref
			l.forget(e.NamedRun, r)
		} else {
			l.s.log.Info("end of an unknown run", "name", e.Name, "run", e.Run, "how", e.How.String())
		}
		fresh = append(fresh, end)
	}
	l.ends = append(l.ends, fresh...)
	return fresh
}

func (l *life) forget(name NamedRun, r *run) {
	delete(l.runs, name)
	delete(l.names, r.ref)
}

// settleBarred finds the runs that were barred before they could start. The
// lock is held.
func (l *life) settleBarred(running map[NamedRun]bool, number uint64) []contract.RunEnded {
	var out []contract.RunEnded
	for name, r := range l.runs {
		if r.phase == phaseBarred && r.barredAt < number && !running[name] {
			l.forget(name, r)
			out = append(out, contract.RunEnded{RunRef: r.ref, How: contract.EndNotStarted, Unanswered: r.unanswered})
		}
	}
	return out
}

// startedOrStray marks runs that the worker lists, and stops those that nobody
// ordered in this session. The lock is held.
func (l *life) startedOrStray(running []NamedRun) {
	for _, name := range running {
		r := l.runs[name]
		if r == nil {
			if !l.strays[name] {
				l.strays[name] = true
				l.bar(name)
			}
		} else if r.phase == phaseStarting {
			r.phase = phaseRunning
		}
	}
}

// dropNoted forgets ends that the worker has forgotten. The lock is held.
func (l *life) dropNoted(seen uint64) {
	n := 0
	for n < len(l.ends) && l.ends[n].Seq <= seen {
		n++
	}
	l.ends = l.ends[n:]
}

// note lets ends be noted at the worker. The lock is held.
func (l *life) note(seq uint64) {
	if seq > l.noted && seq <= l.listed {
		l.noted = seq
		l.wakeUp()
	}
}
