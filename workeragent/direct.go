package workeragent

import (
	"time"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// Direct starts are those that entries order while no leader is known. Invariants:
//
//  1. A session is a direct one only if it was begun without a leader and has never
//     been reported to one. No leader's run was started in it, and none can be, since
//     orders name their session. The session before it is over: its lease has
//     expired, no run is left and no stop is unacknowledged (see beginSession).
//  2. A direct run starts only in a direct session that has not been reported to any
//     leader. The first report therefore lists all direct runs that can be on the
//     worker, and a leader can count their capacity and hold back their tasks.
//  3. Without a leader the agent extends the lease by at most directLease. After the
//     first report it does so without authority only until AuthorityTTL has passed
//     since that report was sent. A leader that took the report declares the session
//     expired later than that.
//  4. The demands of all runs that are or may be on the worker, including those that
//     are being stopped, never exceed its announced capacity. If the worker lists a
//     run that was not ordered in this session, none is started.
//  5. A direct run starts and continues only until directSilence after a reading of
//     the agent's clock that its entry has echoed, and while the link to it is up.
//     If its stop is not acknowledged directStopGrace later, the lease is no longer
//     extended. All of an entry's runs are over 1,208 ms after it was lost.
const (
	// directAfter is how long there must have been no leader before the agent dials
	// entries and begins a direct session. A change of leader takes less.
	directAfter = 300 * time.Millisecond
	// directLease is the longest lease that an agent asks for without a leader, or
	// while it has direct runs.
	directLease = 400 * time.Millisecond
	// directSilence is how long after an echoed clock reading an entry counts as
	// alive.
	directSilence = 700 * time.Millisecond
	// directStopGrace is how long the stop of a run whose entry is lost may remain
	// unacknowledged.
	directStopGrace = 100 * time.Millisecond
	// directUnhealthyTime is how long an agent offers nothing after its worker
	// refused a direct start as unhealthy.
	directUnhealthyTime = time.Second
)

// tryDirect makes the session a direct one if the conditions of invariant 1 hold. If
// the session has been reported to a leader, it is ended first, so that a fresh one
// begins. The caller holds agent.mu, and there must be no authority and no run, run
// end or stop that depends on the lease.
func (w *workerInstance) tryDirect(now time.Duration) {
	a := w.agent
	if !a.cfg.DirectStarts || a.link != nil || a.term == 0 || a.leaderlessFor(now) < directAfter ||
		w.worker.Draining || a.evacuated() || len(w.runs) > 0 {
		return
	}
	if a.sessionReported {
		w.sessionEnding = true
		return
	}
	w.direct = true
	telemetry.DirectSessions.Inc()
	a.log.Info("direct session began", "worker", w.id, "session", a.session, "term", a.term, "leaderless_ms", a.leaderlessFor(now).Milliseconds())
}

// evacuated reports whether no run may start in the worker's failure domain, as far as
// the agent can know.
// The caller holds a.mu.
func (a *Agent) evacuated() bool {
	limit := a.cfg.MaxLeaderless
	return limit > 0 && a.leaderlessFor(boottime.Now()) > limit || a.cfg.Evacuated(a.failureDomain())
}

// failureDomain returns the worker's failure domain: the announced one or, if there is
// none, that of the agent. The caller holds a.mu.
func (a *Agent) failureDomain() string {
	if a.instance != nil && a.instance.worker.FailureDomain != "" {
		return a.instance.worker.FailureDomain
	}
	return a.cfg.Uplink.Hello.FailureDomain
}

// leaderlessFor returns how long no leader has been known, or zero if one is. The
// caller holds a.mu.
func (a *Agent) leaderlessFor(now time.Duration) time.Duration {
	if a.link != nil {
		return 0
	}
	return now - a.leaderLostAt
}

// directOpen reports whether direct starts are carried out at present. The caller
// holds agent.mu.
func (w *workerInstance) directOpen(now time.Duration) bool {
	a := w.agent
	return w.inSession && w.direct && a.link == nil && !a.sessionReported && !w.sessionEnding && len(w.unknownRuns) == 0 &&
		!w.worker.Draining && !a.evacuated() && w.unhealthyUntil <= now && w.leaseConfirmed()
}

// leaseAuthorityEnd returns the boot time up to which a lease may be granted now: the
// end of the leader's authority or, in a direct session, the bound of invariant 3. The
// caller holds agent.mu.
func (w *workerInstance) leaseAuthorityEnd(now time.Duration) time.Duration {
	end := w.agent.authorityEnd
	if !w.direct {
		return end
	}
	alone := now + directLease
	if w.agent.sessionReported {
		alone = min(alone, w.directUntil)
	}
	return max(end, alone)
}

// maxLease returns the longest lease that may be granted now. The caller holds
// agent.mu.
func (w *workerInstance) maxLease() time.Duration {
	for _, r := range w.runs {
		if r.entry != nil {
			return directLease
		}
	}
	return leaseDuration
}

// sessionSeenByLeader records that the session is about to be reported to a leader for
// the first time. No direct start follows. The caller holds a.mu.
func (a *Agent) sessionSeenByLeader() {
	if a.sessionReported {
		return
	}
	a.sessionReported = true
	if w := a.instance; w != nil && w.direct {
		w.directUntil = boottime.Now() + a.cfg.AuthorityTTL
		a.log.Info("direct session ended", "worker", w.id, "session", a.session, "why", "leader known", "runs", len(w.runs))
	}
}

// freeCapacity returns what no run uses that is or may be on the worker. The caller
// holds agent.mu.
func (w *workerInstance) freeCapacity() contract.Capacity {
	free := w.worker.Capacity
	for _, r := range w.runs {
		free.MilliCPU -= r.need.MilliCPU
		free.MemoryMB -= r.need.MemoryMB
		free.Accelerators -= r.need.Accelerators
	}
	return free
}

// handleDirectStart starts a run for an entry, or says why not. The caller holds a.mu.
func (a *Agent) handleDirectStart(now time.Duration, e *entryLink, m *contract.DirectStart) {
	e.taken = max(e.taken, m.Number)
	st := m.Start
	w := a.instance
	switch {
	case w == nil || !w.directOpen(now) || e.lost(now) || w.hasTask(st.Name):
		a.log.V(1).Info("direct start refused", "job", st.Job, "task", st.Task, "entry", e.host())
		e.sendEnd(st.RunRef, contract.EndNotStarted, false)
		return
	case !w.freeCapacity().HasRoomFor(st.Demand) || !w.admitsBeside(st.Job, m.Alone):
		e.sendEnd(st.RunRef, contract.EndNotStarted, true)
		return
	}
	st.Run = contract.DirectRunNumber(a.term, st.Run)
	telemetry.DirectStarts.WithLabelValues("agent").Inc()
	w.startRun(st, e)
	w.runs[NamedRun{Name: st.Name, Run: st.Run}].alone = m.Alone
}

// admitsBeside reports whether a run of the job may start beside the runs on the worker:
// none of another job if it is to run alone, and none of another job that does. The
// caller holds agent.mu.
func (w *workerInstance) admitsBeside(id contract.DurableJobID, alone bool) bool {
	for _, r := range w.runs {
		if r.ref.Job != id && (alone || r.alone) {
			return false
		}
	}
	return true
}

// hasTask reports whether a run of the task is or may be on the worker. The caller
// holds agent.mu.
func (w *workerInstance) hasTask(name string) bool {
	for n := range w.runs {
		if n.Name == name {
			return true
		}
	}
	return false
}

// handleDirectStop stops a run that the entry started. The caller holds a.mu.
func (a *Agent) handleDirectStop(e *entryLink, ref contract.RunRef) {
	w := a.instance
	if w == nil {
		return
	}
	for name, r := range w.runs {
		if r.entry == e && entryRef(r.ref) == ref {
			w.stopRun(name)
		}
	}
}

// entryRef returns the reference under which the entry knows a direct run.
func entryRef(ref contract.RunRef) contract.RunRef {
	ref.Run &= contract.DirectCountMask
	return ref
}

// tellEntry reports the end of a run to its entry, if it is a direct one.
func (r *run) tellEntry(kind contract.RunEndKind, noCapacity bool) {
	if r.entry != nil {
		r.entry.sendEnd(r.ref, kind, noCapacity)
	}
}

// failDirectRuns reports the end of all direct runs to their entries. kind is
// EndLost if they are certainly over. The caller holds agent.mu.
func (w *workerInstance) failDirectRuns(kind contract.RunEndKind) {
	for _, r := range w.runs {
		r.tellEntry(kind, false)
	}
}

// checkDirectRuns stops the direct runs whose entry is lost, and ends the session if
// the worker does not acknowledge such a stop (invariant 5). The caller holds
// agent.mu.
func (w *workerInstance) checkDirectRuns(now time.Duration) {
	for name, r := range w.runs {
		if r.entry == nil || !r.entry.lost(now) {
			continue
		}
		if !r.stopping {
			w.agent.log.Info("direct run stopped: its entry is lost", "name", name.Name, "run", name.Run, "worker", w.id, "entry", r.entry.host())
			w.stopRun(name)
		}
		if !w.sessionEnding && r.phase != phaseStopAcked && now-r.entry.lostAt(now) > directStopGrace {
			w.agent.log.Info("worker does not stop a direct run: letting the lease expire", "name", name.Name, "run", name.Run, "worker", w.id)
			w.sessionEnding = true
			w.wakeUp()
		}
	}
}

// hasDirectRuns reports whether a direct run may be on the worker. The caller holds
// a.mu.
func (a *Agent) hasDirectRuns() bool {
	if a.instance == nil {
		return false
	}
	for _, r := range a.instance.runs {
		if r.entry != nil {
			return true
		}
	}
	return false
}

// directEndKind returns the kind of end that an entry is told. After the expiry of the
// lease the run is certainly over.
func directEndKind(k contract.RunEndKind) contract.RunEndKind {
	if k == contract.EndLeaseExpired {
		return contract.EndLost
	}
	return k
}
