package workeragent

import (
	"context"
	"errors"
	"slices"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// startRun carries out an order to start a run; it does nothing if the run is
// known. e is the entry that started it, or nil for a leader's run. The caller holds
// agent.mu.
func (w *workerInstance) startRun(st contract.RunStart, e *entryLink) {
	name := NamedRun{Name: st.Name, Run: st.Run}
	if w.runs[name] != nil {
		return
	}
	w.starts++
	w.runs[name] = &run{ref: st.RunRef, queue: st.Queue, need: st.Demand, bound: st.Bound, entry: e, number: w.starts, startedAt: boottime.Now()}
	w.nameByRef[st.RunRef] = name
	c := StartCall{Name: st.Name, Run: st.Run, Spec: st.Spec, DeadlineMS: w.nextLeaseEndMS(), Token: w.agent.term}
	w.agent.group.Go(func() error { w.callStart(name, c); return nil })
}

// startOrdered starts a run that the leader has ordered, unless the worker's capacity has
// shrunk since and no longer covers it. The caller holds agent.mu.
func (w *workerInstance) startOrdered(st contract.RunStart) {
	if !w.freeCapacity().HasRoomFor(st.Demand) {
		telemetry.StartsRefused.WithLabelValues("shrunk").Inc()
		w.agent.log.Info("start refused: the worker has shrunk", "job", st.Job, "task", st.Task, "run", st.Run, "worker", w.id)
		w.agent.reportNotStarted(contract.RunEnded{RunRef: st.RunRef})
		return
	}
	w.startRun(st, nil)
}

// callStart calls the worker to start the run and handles the result.
func (w *workerInstance) callStart(name NamedRun, c StartCall) {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	refusal, err := w.client.Start(ctx, c)
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	r := w.runs[name]
	if err != nil {
		telemetry.StartsUnanswered.Inc()
		w.agent.log.Info("start call unanswered", "name", name.Name, "run", name.Run, "worker", w.id, "err", err)
		if errors.Is(err, ErrNotListening) {
			w.startNotReceived(name)
		} else {
			w.resolveStart(name)
		}
		return
	}
	if r == nil {
		return
	}
	if refusal == NotRefused {
		if r.phase == phaseStarting {
			r.phase = phaseRunning
		}
		return
	}
	telemetry.StartsRefused.WithLabelValues(refusal.String()).Inc()
	w.agent.log.Info("start refused by the worker", "name", name.Name, "run", name.Run, "worker", w.id, "why", refusal.String())
	w.removeRun(name, r)
	if r.entry != nil && refusal == RefusedUnhealthy {
		w.unhealthyUntil = boottime.Now() + directUnhealthyTime
	}
	r.tellEntry(contract.EndNotStarted, refusal == RefusedNoCapacity)
	w.agent.reportNotStarted(contract.RunEnded{RunRef: r.ref, Unhealthy: refusal == RefusedUnhealthy, Stale: refusal == RefusedStaleRun})
}

// startNotReceived reports a run as not started whose start call found no process. The
// run is then not counted among those under a crash of the worker. The caller holds
// agent.mu.
func (w *workerInstance) startNotReceived(name NamedRun) {
	r := w.runs[name]
	if r == nil || r.phase != phaseStarting || r.stopping {
		return
	}
	w.removeRun(name, r)
	r.tellEntry(contract.EndNotStarted, false)
	w.agent.reportNotStarted(contract.RunEnded{RunRef: r.ref, Unanswered: true})
}

// resolveStart determines the result of a start call that got no answer. If the
// worker lists the run, the run continues; otherwise it is stopped, since the
// worker may still carry out the start. The caller holds agent.mu, which is
// released during the poll.
func (w *workerInstance) resolveStart(name NamedRun) {
	if r := w.runs[name]; r != nil && r.phase == phaseStarting && !r.stopping {
		r.startUnanswered = true
		ackedSeq := w.ackedSeq
		w.agent.mu.Unlock()
		reply, err := w.poll(PollCall{AckedSeq: ackedSeq})
		w.agent.mu.Lock()
		if err == nil && reply.contains(name) {
			w.agent.log.Info("run started although its start call was unanswered", "name", name.Name, "run", name.Run, "worker", w.id)
			if r.phase == phaseStarting {
				r.phase = phaseRunning
			}
			return
		}
	}
	// Another poll may have shown in the meantime that the run is running.
	if r := w.runs[name]; r == nil || r.phase == phaseStarting {
		w.stopRun(name)
	}
}

// handleStop carries out an order to stop a run. The caller holds agent.mu.
func (w *workerInstance) handleStop(ref contract.RunRef) {
	for i, st := range w.pendingStarts {
		if st.RunRef == ref {
			w.pendingStarts = slices.Delete(w.pendingStarts, i, i+1)
			w.agent.reportNotStarted(contract.RunEnded{RunRef: ref})
			return
		}
	}
	name, ok := w.nameByRef[ref]
	if !ok || w.runs[name].stopping {
		return
	}
	w.stopRun(name)
}

// stopRun stops a run on the worker, or prevents its start if the start call has
// not arrived there yet. Until the worker acknowledges the stop, it may still
// carry out the start. The caller holds agent.mu.
func (w *workerInstance) stopRun(name NamedRun) {
	if r := w.runs[name]; r != nil {
		if r.stopping {
			return
		}
		r.stopping = true
	}
	w.pendingStops++
	w.agent.group.Go(func() error { w.retryStop(name); return nil })
}

// retryStop repeats the stop until the worker acknowledges it or the instance
// ends.
func (w *workerInstance) retryStop(name NamedRun) {
	for w.ctx.Err() == nil {
		if w.callStop(name) == nil {
			break
		}
		w.sleep(retryInterval)
	}
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	w.pendingStops--
	if r := w.runs[name]; r != nil {
		r.phase = phaseStopAcked
		r.stopAckedAtPoll = w.polls
	}
	w.wakeUp()
}

// callStop sends the stop of a run once.
func (w *workerInstance) callStop(name NamedRun) error {
	w.agent.mu.Lock()
	token := w.agent.term
	w.agent.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	err := w.client.Stop(ctx, name, token)
	if err != nil {
		w.agent.log.V(1).Info("stop call failed", "name", name.Name, "run", name.Run, "err", err)
	}
	return err
}
