package workeragent

import (
	"context"
	"errors"
	"time"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

const (
	// pollWait is how long a poll may wait at the worker for a run to end. It must
	// leave time for two more calls within a lease.
	pollWait = 50 * time.Millisecond
	// callTimeout bounds a call to the worker, in addition to the wait that the
	// call asks for. The worker is on this machine and answers within a
	// millisecond or two. The timeout must be short enough to detect a lost
	// answer before the expected end of the shortest tasks.
	callTimeout = 50 * time.Millisecond
	// leaseDuration is the longest lease that an agent asks for. The tasks of a worker
	// that went silent start elsewhere only once its lease has expired. A sound worker
	// answers eight polls within it.
	leaseDuration = 500 * time.Millisecond
	// startMargin is the minimum remaining time of the confirmed lease for a run to
	// be started under it. It must be longer than the next calls take.
	startMargin = 150 * time.Millisecond
	// shortPollInterval is the pause between two polls while run ends or stops are
	// unacknowledged, since the worker answers such polls at once. It is also the
	// interval at which Drain checks for remaining runs.
	shortPollInterval = 4 * time.Millisecond
	// retryInterval is the pause before a failed call is repeated, or before a
	// condition that was not met is checked again.
	retryInterval = 20 * time.Millisecond
	// clockSlack is added to the end of a lease on the worker's clock, since the
	// estimate of that clock may be a few milliseconds behind.
	clockSlack = 20 * time.Millisecond
	// expirySlack is added to the end of a lease to allow for late timers and for
	// the time that the worker takes to stop its runs.
	expirySlack = 100 * time.Millisecond
	// exitCheckInterval replaces retryInterval while the worker may have exited. Its
	// tasks start elsewhere once that is certain.
	exitCheckInterval = 3 * time.Millisecond
	// maxConnRefusals is the number of consecutive refused connections after which
	// the worker is considered to have exited.
	maxConnRefusals = 3
)

// phase is the known state of a run.
type phase uint8

const (
	phaseStarting phase = iota
	phaseRunning
	// phaseStopAcked: the worker acknowledged a stop; the next poll shows whether
	// the run had started.
	phaseStopAcked
)

// run tracks a run that is, or may be, on the worker. It is guarded by Agent.mu.
type run struct {
	ref   contract.RunRef
	queue string
	need  contract.Demand
	phase phase
	// number orders the starts on the instance, and startedAt is the boot time of the
	// start.
	number    uint64
	startedAt time.Duration
	// stopAckedAtPoll is the value of workerInstance.polls when the worker
	// acknowledged the stop.
	stopAckedAtPoll uint64
	stopping        bool
	// bound says that the run's job is bound to its entry. entry is the entry that
	// started a direct run, and nil for a leader's run.
	bound bool
	entry *entryLink
	// alone says that no run of another job may start beside the run.
	alone bool
	// startUnanswered says that the start call got no answer.
	startUnanswered bool
}

// workerInstance tracks one instance of the worker, from its first announcement
// until it exits or is replaced.
type workerInstance struct {
	agent  *Agent
	id     contract.HostID
	client WorkerClient
	ctx    context.Context
	cancel context.CancelFunc

	// The fields below, except wake, are guarded by agent.mu.

	// worker is the latest announcement, in which the agent may have changed Seq and
	// Draining.
	worker contract.WorkerAnnouncement
	// coldUntil is the boot time until which the worker is cold, by its latest
	// announcement.
	coldUntil time.Duration
	inSession bool
	// leaseRunsOut is set from the end of a session until its lease has expired. The
	// runs of the session may be alive until then.
	leaseRunsOut bool
	// inheritedRuns are runs of the instance before, which may be alive until
	// inheritedUntil, a boot time, or until this instance's first session.
	inheritedRuns  []contract.PlacedRun
	inheritedUntil time.Duration
	// hadSession says that this process has begun a session with the instance.
	hadSession bool
	// fresh says that no earlier agent process can have called the instance: this process
	// saw the instance before it exit, which had another ID, and calls name the ID.
	fresh bool
	// fenced says that the worker has answered a poll under a token that no earlier agent
	// process can have known, before the first session of this process. It then carries out
	// no call from before.
	fenced bool
	// leaving says that the instance has announced its end.
	leaving bool
	// starts counts the starts on the instance.
	starts uint64
	// sessionEnding is set when the lease is no longer renewed; the session ends
	// when it expires.
	sessionEnding bool
	runs          map[NamedRun]*run
	nameByRef     map[contract.RunRef]NamedRun
	// unackedEnds are the run ends that are not yet acknowledged to the worker, in
	// the order of Seq.
	unackedEnds []contract.RunEnded
	// lastSeq is the highest sequence number of a run end that the worker has
	// listed; ackedSeq is the highest one that may be acknowledged to the worker.
	lastSeq, ackedSeq uint64
	// polls counts the polls made by runSession; its value is the number of the
	// latest one.
	polls uint64
	// unknownRuns are runs that were not ordered in this session and are being
	// stopped.
	unknownRuns map[NamedRun]bool
	// pendingStops counts the stops that the worker has not acknowledged.
	pendingStops int
	// clockMS is the last known reading of the worker's clock, in milliseconds;
	// clockReadAt is the boot time at which it was received.
	clockMS     int64
	clockReadAt time.Duration
	// confirmedLeaseEndMS is the end of the lease that the worker has confirmed;
	// latestLeaseEndMS is the latest end that its lease may have. Both are on the
	// worker's clock, in milliseconds.
	confirmedLeaseEndMS, latestLeaseEndMS int64
	// pendingStarts are start orders that wait until the lease is confirmed.
	pendingStarts []contract.RunStart
	// direct marks a direct session; see direct.go. directUntil is the end of the
	// agent's own authority over its lease once sessionReported is set.
	direct      bool
	directUntil time.Duration
	// unhealthyUntil is the boot time until which no direct start is offered.
	unhealthyUntil time.Duration
	// wake interrupts sleep.
	wake chan struct{}
}

func newWorkerInstance(a *Agent, ann contract.WorkerAnnouncement) *workerInstance {
	w := &workerInstance{agent: a, id: ann.ID, worker: ann, coldUntil: coldUntil(ann), client: a.cfg.Connect(ann), wake: make(chan struct{}, 1)}
	w.ctx, w.cancel = context.WithCancel(a.ctx)
	w.clear()
	return w
}

// clear resets the state of the session. The caller holds agent.mu, except during
// construction.
func (w *workerInstance) clear() {
	w.runs = map[NamedRun]*run{}
	w.nameByRef = map[contract.RunRef]NamedRun{}
	w.unknownRuns = map[NamedRun]bool{}
	w.unackedEnds = nil
	w.pendingStarts = nil
	w.inheritedRuns = nil
	w.sessionEnding = false
	w.direct, w.directUntil = false, 0
}

// stopTracking stops tracking the instance; why goes into the log, and
// entries are told directEnd of their runs. The caller holds
// agent.mu.
func (w *workerInstance) stopTracking(why string, directEnd contract.RunEndKind) {
	w.agent.log.Info("worker instance ended", "worker", w.id, "why", why, "runs", len(w.runs))
	w.recordCrash(boottime.Now())
	w.recordVoidRuns(boottime.Now())
	w.inSession = false
	w.failDirectRuns(directEnd)
	w.cancel()
}

// inheritRuns takes over the runs of the instance before, which may be alive until its
// lease has expired. The caller holds agent.mu.
func (w *workerInstance) inheritRuns(before *workerInstance) {
	switch {
	case before.inSession || before.leaseRunsOut:
		w.inheritedRuns, w.inheritedUntil = before.placedRuns(), before.leaseExpiry()
	case before.hasInheritedRuns():
		w.inheritedRuns, w.inheritedUntil = before.inheritedRuns, before.inheritedUntil
	}
}

// hasInheritedRuns reports whether runs of the instance before may be alive. The caller
// holds agent.mu.
func (w *workerInstance) hasInheritedRuns() bool {
	return len(w.inheritedRuns) > 0 && boottime.Now() < w.inheritedUntil
}

// placedRuns returns the runs that may be alive or could still start. The caller holds
// agent.mu.
func (w *workerInstance) placedRuns() []contract.PlacedRun {
	var out []contract.PlacedRun
	for _, st := range w.pendingStarts {
		out = append(out, st.Placed())
	}
	for _, known := range w.runs {
		out = append(out, contract.PlacedRun{RunRef: known.ref, Demand: known.need, Direct: known.entry != nil, Bound: known.bound})
	}
	return out
}

// fillReport adds the state of the instance to a report. While the lease of a session
// runs out, also one of the instance before, the runs are reported as active, since a
// leader starts the tasks of missing runs elsewhere, and the worker as draining, since it
// gets no new runs. The caller holds agent.mu.
func (w *workerInstance) fillReport(r *contract.WorkerReport) {
	r.NoWorker = false
	r.Worker = w.worker
	r.Worker.Draining = r.Worker.Draining || !w.inSession
	r.Worker.ColdLeftMillis = max(0, (w.coldUntil - boottime.Now()).Milliseconds())
	r.Running = append(w.placedRuns(), w.inheritedRuns...)
	r.Ends = w.unackedEnds
}

// workerNowMS returns an estimate, in milliseconds, of the worker's clock that is
// never ahead of it. The caller holds agent.mu.
func (w *workerInstance) workerNowMS() int64 {
	return w.clockMS + int64((boottime.Now()-w.clockReadAt)/time.Millisecond)
}

// setClock records a reading of the worker's clock. The caller holds agent.mu.
func (w *workerInstance) setClock(ms int64) {
	w.clockMS, w.clockReadAt = ms, boottime.Now()
}

// sessionLoop runs sessions with the instance, one after the other, until the
// instance ends.
func (w *workerInstance) sessionLoop() error {
	defer w.client.Close()
	for w.ctx.Err() == nil {
		if !w.recover() {
			break
		}
		w.runSession()
		w.awaitLeaseExpiry()
	}
	return nil
}

// sleep waits for the duration, or until wakeUp is called or the instance ends.
func (w *workerInstance) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-w.ctx.Done():
	case <-t.C:
	case <-w.wake:
	}
}

// wakeUp interrupts the current sleep, or else the next one.
func (w *workerInstance) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// recover polls the worker until nothing is left of the calls made before, by this agent
// process or an earlier one; leftover.go has the conditions. It then begins a session and
// returns true. It returns false when the instance has ended.
func (w *workerInstance) recover() bool {
	for w.ctx.Err() == nil {
		reply, err := w.poll(PollCall{AckedSeq: w.loadAckedSeq()})
		if err != nil {
			w.sleep(retryInterval)
			continue
		}
		if w.leftovers().over(reply) && w.beginSession(reply) {
			return true
		}
		w.sleep(retryInterval)
	}
	return false
}

// leftovers returns what may be left of the calls made before a session.
func (w *workerInstance) leftovers() leftovers {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	return leftovers{
		newInstance: w.fresh && !w.hadSession, hadSession: w.hadSession, fenced: w.fenced, latestLeaseEndMS: w.latestLeaseEndMS,
	}
}

// priorLeaseBound returns how long a lease granted by an earlier agent process
// may last after that process has ended. That process must be of a version that asks
// for no longer leases, or must have ended on SIGTERM.
func (w *workerInstance) priorLeaseBound() time.Duration {
	return min(w.agent.cfg.Lease, leaseDuration, w.agent.cfg.AuthorityTTL)
}

// loadAckedSeq returns ackedSeq. The caller must not hold agent.mu.
func (w *workerInstance) loadAckedSeq() uint64 {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	return w.ackedSeq
}

// beginSession begins a session and returns true, unless a stop is still
// unacknowledged or the instance has ended. The run ends in the reply are void,
// since the lease of their session has expired: they are acknowledged to the worker
// and not reported to the leader.
func (w *workerInstance) beginSession(reply PollReply) bool {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	if w.pendingStops > 0 || w.ctx.Err() != nil {
		return false
	}
	w.clear()
	for _, e := range reply.Ended {
		w.lastSeq = max(w.lastSeq, e.Seq)
	}
	w.ackedSeq = w.lastSeq
	w.inSession, w.hadSession = true, true
	w.confirmedLeaseEndMS = 0
	telemetry.Sessions.Inc()
	w.agent.log.Info("session started", "worker", w.id, "void_ends", len(reply.Ended), "fenced", w.fenced)
	w.agent.newSession()
	return true
}

// poll calls the worker with the current fencing token. Before a leader is known
// the token is zero and the call fails; the worker's rejection of it still
// carries its clock.
func (w *workerInstance) poll(c PollCall) (PollReply, error) {
	w.agent.mu.Lock()
	c.Token = w.agent.term
	w.agent.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, c.Wait+callTimeout)
	defer cancel()
	reply, err := w.client.Poll(ctx, c)
	if err == nil || errors.Is(err, ErrFenced) && reply.ClockMS > 0 {
		w.agent.mu.Lock()
		w.setClock(reply.ClockMS)
		if w.latestLeaseEndMS == 0 {
			w.latestLeaseEndMS = reply.ClockMS + w.priorLeaseBound().Milliseconds()
		}
		w.agent.mu.Unlock()
	}
	if err == nil && c.Token == 0 {
		err = ErrNoLeader
	}
	if err == nil {
		w.agent.mu.Lock()
		// Calls of this process to an earlier instance may reach this one if it has the
		// same ID, and they carry the same token.
		w.fenced = w.fenced || w.agent.session == 0 && w.agent.unknownBefore(c.Token)
		w.agent.mu.Unlock()
	}
	if err != nil {
		w.agent.log.V(1).Info("poll of the worker failed", "worker", w.id, "err", err)
	}
	return reply, err
}

// runSession renews the lease and polls the worker until the session is to end.
func (w *workerInstance) runSession() {
	connRefusals := 0
	answered := true
	for w.ctx.Err() == nil {
		c, pollNumber, ok := w.nextPoll(answered)
		if !ok {
			return
		}
		if pollNumber == 0 {
			w.sleep(retryInterval)
			continue
		}
		wasAnswered := answered
		reply, err := w.poll(c)
		answered = err == nil
		pause := retryInterval
		switch {
		case errors.Is(err, ErrOtherInstance):
			w.workerExited("another instance answered")
			return
		case errors.Is(err, ErrNotListening):
			if connRefusals++; connRefusals >= maxConnRefusals {
				w.workerExited("no process listens at its address")
				return
			}
			pause = exitCheckInterval
		case err != nil && wasAnswered && !errors.Is(err, context.DeadlineExceeded):
			// A broken connection may be the first sign of an exit.
			pause = exitCheckInterval
		case err == nil:
			connRefusals = 0
			w.handlePollReply(reply, c, pollNumber)
			if w.awaitingAcks() {
				w.sleep(shortPollInterval)
			}
			continue
		}
		w.sleep(pause)
	}
}

// nextPoll returns the next poll and its number, or false when the session is to
// end. The number is zero when no poll is to be sent: there is no authority to
// renew the lease, and nothing depends on the lease. While the worker does not
// answer, its lease is not renewed, and the session ends when the lease expires.
func (w *workerInstance) nextPoll(answered bool) (PollCall, uint64, bool) {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	now := boottime.Now()
	if !w.sessionEnding && w.leaseAuthorityEnd(now) <= now {
		if w.leaseUnused() && w.pendingStops == 0 {
			w.tryDirect(now)
			return PollCall{}, 0, true
		}
		w.agent.log.Info("authority lost: letting the lease expire", "worker", w.id, "runs", len(w.runs))
		w.sessionEnding = true
	}
	if !answered && w.workerNowMS() > w.confirmedLeaseEndMS && !w.leaseUnused() {
		w.agent.log.Info("worker unresponsive: letting the lease expire", "worker", w.id, "runs", len(w.runs))
		w.sessionEnding = true
	}
	if w.sessionEnding {
		return PollCall{}, 0, false
	}
	w.polls++
	if !answered {
		return PollCall{AckedSeq: w.ackedSeq}, w.polls, true
	}
	c := PollCall{AckedSeq: w.ackedSeq, DeadlineMS: w.nextLeaseEndMS()}
	if len(w.unackedEnds) == 0 && w.pendingStops == 0 && w.leaseConfirmed() {
		c.Wait = pollWait
	}
	return c, w.polls, true
}

// leaseConfirmed reports whether the worker has confirmed a lease that outlasts
// the next calls. Without such a lease a run could start and end before a poll
// shows whether the lease was unbroken. The caller holds agent.mu.
func (w *workerInstance) leaseConfirmed() bool {
	return w.confirmedLeaseEndMS-w.workerNowMS() > startMargin.Milliseconds()
}

// leaseUnused reports whether an expiry of the lease would affect no run and no
// unacknowledged run end. Runs that are still starting are not counted. The caller
// holds agent.mu.
func (w *workerInstance) leaseUnused() bool {
	for _, r := range w.runs {
		if r.phase != phaseStarting {
			return false
		}
	}
	return len(w.unackedEnds) == 0
}

// nextLeaseEndMS returns the end, on the worker's clock in milliseconds, of a lease
// granted now, and includes it in latestLeaseEndMS. A lease never outlasts the
// leader's authority, or that of the agent in a direct session, so that the leader
// knows when no run is left on a worker that it can't reach. The caller holds
// agent.mu.
func (w *workerInstance) nextLeaseEndMS() int64 {
	now := boottime.Now()
	duration := min(w.agent.cfg.Lease, w.maxLease(), w.leaseAuthorityEnd(now)-now)
	end := w.workerNowMS() + duration.Milliseconds()
	w.latestLeaseEndMS = max(w.latestLeaseEndMS, end)
	return end
}

// awaitingAcks reports whether a run end or a stop is unacknowledged.
func (w *workerInstance) awaitingAcks() bool {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	return len(w.unackedEnds) > 0 || w.pendingStops > 0
}

// workerExited ends the tracking of an instance that has certainly exited, and
// reports a new session without a worker.
func (w *workerInstance) workerExited(why string) {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	if w.agent.instance != w {
		return
	}
	w.stopTracking(why, contract.EndLost)
	clear(w.runs)
	w.agent.instance, w.agent.exited = nil, w.id
	w.agent.newSession()
}

// awaitLeaseExpiry waits until the lease has certainly expired, then reports a
// new session without a worker.
func (w *workerInstance) awaitLeaseExpiry() {
	w.agent.mu.Lock()
	w.inSession, w.leaseRunsOut = false, true
	expiry := w.leaseExpiry()
	w.agent.mu.Unlock()
	for w.ctx.Err() == nil && boottime.Now() < expiry {
		w.sleep(expiry - boottime.Now())
	}
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	if boottime.Now() < expiry {
		// The instance was replaced or this process ends: runs may still be alive.
		return
	}
	w.leaseRunsOut = false
	w.recordVoidRuns(boottime.Now())
	w.ackedSeq = w.lastSeq
	w.failDirectRuns(contract.EndLost)
	if w.direct && !w.agent.sessionReported {
		w.agent.log.Info("direct session ended", "worker", w.id, "session", w.agent.session, "why", "lease expired")
	}
	w.clear()
	if w.agent.instance == w {
		// No run is left, so the leader need not wait for the worker.
		w.agent.newSession()
	}
}

// leaseExpiry returns the boot time at which the lease has certainly expired if it is not
// renewed. The caller holds agent.mu.
func (w *workerInstance) leaseExpiry() time.Duration {
	remaining := time.Duration(max(w.latestLeaseEndMS-w.workerNowMS(), 0)) * time.Millisecond
	return boottime.Now() + remaining + remaining/contract.WorkerClockDriftDivisor + expirySlack
}

// handlePollReply updates the runs from the lists in the reply to the poll c. The
// reply resolves every run whose stop was acknowledged before poll pollNumber.
func (w *workerInstance) handlePollReply(reply PollReply, c PollCall, pollNumber uint64) {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	running := make(map[NamedRun]bool, len(reply.Running))
	for _, r := range reply.Running {
		running[r] = true
	}
	if !w.leaseUnbroken(reply, running) {
		w.agent.log.Info("lease may have expired: ending the session", "worker", w.id, "clock", reply.ClockMS, "confirmed", w.confirmedLeaseEndMS)
		w.sessionEnding = true
		return
	}
	w.confirmedLeaseEndMS = max(w.confirmedLeaseEndMS, c.DeadlineMS)
	newEnds := w.recordEnds(reply.Ended)
	newEnds = append(newEnds, w.resolveStopped(running, pollNumber)...)
	w.removeAckedEnds(c.AckedSeq)
	w.reconcileRunning(reply.Running)
	if len(newEnds) > 0 {
		w.agent.send(&contract.WorkerEnds{Session: w.agent.session, Ends: newEnds})
	}
	w.startPending()
}

// startPending starts the runs that wait for a confirmed lease. A poll that renewed
// nothing, as after an unanswered one, may leave the lease unconfirmed; a run started
// then would look as if its lease had expired. The caller holds agent.mu.
func (w *workerInstance) startPending() {
	if !w.leaseConfirmed() {
		return
	}
	pending := w.pendingStarts
	w.pendingStarts = nil
	for _, st := range pending {
		w.startOrdered(st)
	}
}

// leaseUnbroken reports whether the lease certainly did not expire since the last
// poll, or its expiry would not matter: the worker's clock has not passed the
// end of the lease, a run that was running is still running, or nothing depended
// on the lease. The caller holds agent.mu.
func (w *workerInstance) leaseUnbroken(reply PollReply, running map[NamedRun]bool) bool {
	if reply.ClockMS <= w.confirmedLeaseEndMS || w.leaseUnused() {
		return true
	}
	for name, r := range w.runs {
		if r.phase == phaseRunning && running[name] {
			return true
		}
	}
	return false
}

// recordEnds records the run ends that were not listed before, and returns them.
// The caller holds agent.mu.
func (w *workerInstance) recordEnds(ended []EndedRun) []contract.RunEnded {
	var newEnds []contract.RunEnded
	for _, e := range ended {
		if e.Seq <= w.lastSeq {
			continue
		}
		w.lastSeq = e.Seq
		telemetry.RunsEnded.WithLabelValues(e.Kind.String()).Inc()
		end := contract.RunEnded{Seq: e.Seq, Kind: e.Kind}
		if r := w.runs[e.NamedRun]; r != nil {
			end.RunRef = r.ref
			r.tellEntry(directEndKind(e.Kind), false)
			w.removeRun(e.NamedRun, r)
		} else {
			w.agent.log.Info("end of an unknown run", "name", e.Name, "run", e.Run, "how", e.Kind.String())
		}
		newEnds = append(newEnds, end)
	}
	w.unackedEnds = append(w.unackedEnds, newEnds...)
	if w.direct && !w.agent.sessionReported {
		// The results of transient jobs are stored nowhere, so nobody else confirms
		// these ends.
		w.ackEnds(w.lastSeq)
	}
	return newEnds
}

// removeRun removes a run. The caller holds agent.mu.
func (w *workerInstance) removeRun(name NamedRun, r *run) {
	delete(w.runs, name)
	delete(w.nameByRef, r.ref)
}

// resolveStopped removes the runs that were stopped before they could start, and
// returns them as not started. These are the runs whose stop was acknowledged
// before poll pollNumber and that its reply does not list as running. The caller
// holds agent.mu.
func (w *workerInstance) resolveStopped(running map[NamedRun]bool, pollNumber uint64) []contract.RunEnded {
	var out []contract.RunEnded
	for name, r := range w.runs {
		if r.phase == phaseStopAcked && r.stopAckedAtPoll < pollNumber && !running[name] {
			w.removeRun(name, r)
			r.tellEntry(contract.EndNotStarted, false)
			out = append(out, contract.RunEnded{RunRef: r.ref, Kind: contract.EndNotStarted, Unanswered: r.startUnanswered})
		}
	}
	return out
}

// reconcileRunning marks the listed runs as running, and stops those that were
// not ordered in this session. The caller holds agent.mu.
func (w *workerInstance) reconcileRunning(running []NamedRun) {
	for _, name := range running {
		r := w.runs[name]
		if r == nil {
			if !w.unknownRuns[name] {
				w.unknownRuns[name] = true
				w.stopRun(name)
			}
		} else if r.phase == phaseStarting {
			r.phase = phaseRunning
		}
	}
}

// removeAckedEnds removes the run ends up to the sequence number. The worker has
// removed them too, since a poll acknowledged them. The caller holds agent.mu.
func (w *workerInstance) removeAckedEnds(seq uint64) {
	n := 0
	for n < len(w.unackedEnds) && w.unackedEnds[n].Seq <= seq {
		n++
	}
	w.unackedEnds = w.unackedEnds[n:]
}

// ackEnds makes the next poll acknowledge the run ends up to the sequence number.
// The caller holds agent.mu.
func (w *workerInstance) ackEnds(seq uint64) {
	if seq > w.ackedSeq && seq <= w.lastSeq {
		w.recordAckedEnds(boottime.Now(), seq)
		w.ackedSeq = seq
		w.wakeUp()
	}
}
