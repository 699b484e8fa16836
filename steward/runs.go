package steward

import (
	"context"
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

// start carries out an order to start. The lock is held.
func (l *life) start(st contract.RunStart) {
	name := NamedRun{Name: st.Name, Run: st.Run}
	if l.runs[name] != nil {
		return
	}
	l.runs[name] = &run{ref: st.RunRef, need: st.Need}
	l.names[st.RunRef] = name
	c := StartCall{Name: st.Name, Run: st.Run, Spec: st.Spec, Deadline: l.deadline(), Token: l.s.term}
	l.s.group.Go(func() error { l.callStart(name, c); return nil })
}

func (l *life) callStart(name NamedRun, c StartCall) {
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	refused, err := l.calls.Start(ctx, c)
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	r := l.runs[name]
	if err != nil {
		telemetry.StartsUnanswered.Inc()
		l.s.log.Info("start without an answer", "name", name.Name, "run", name.Run, "worker", l.id, "err", err)
		l.settleStart(name)
		return
	}
	if r == nil {
		return
	}
	if refused == NotRefused {
		if r.phase == phaseStarting {
			r.phase = phaseRunning
		}
		return
	}
	telemetry.StartsRefused.WithLabelValues(refused.String()).Inc()
	l.s.log.Info("start refused by the worker", "name", name.Name, "run", name.Run, "worker", l.id, "why", refused.String())
	l.forget(name, r)
	l.s.notStarted(r.ref, refused == RefusedUnhealthy)
}

// settleStart finds out what came of a start without an answer. The run goes on
// where the worker lists it; else it is barred, since the start may still be
// carried out. The lock is held, but for the call.
func (l *life) settleStart(name NamedRun) {
	if r := l.runs[name]; r != nil && r.phase == phaseStarting && !r.stopping {
		r.unanswered = true
		seen := l.noted
		l.s.mu.Unlock()
		held, err := l.look(HoldCall{Seen: seen})
		l.s.mu.Lock()
		if err == nil && held.lists(name) {
			l.s.log.Info("started all the same", "name", name.Name, "run", name.Run, "worker", l.id)
			if r.phase == phaseStarting {
				r.phase = phaseRunning
			}
			return
		}
	}
	// A list may have shown meanwhile that it runs.
	if r := l.runs[name]; r == nil || r.phase == phaseStarting {
		l.bar(name)
	}
}

// stop carries out an order to stop. The lock is held.
func (l *life) stop(ref contract.RunRef) {
	for i, st := range l.pending {
		if st.RunRef == ref {
			l.pending = slices.Delete(l.pending, i, i+1)
			l.s.notStarted(ref, false)
			return
		}
	}
	name, ok := l.names[ref]
	if !ok || l.runs[name].stopping {
		return
	}
	l.bar(name)
}

// bar stops a run for good, also one that has not arrived at the worker yet:
// until the worker has answered, the order to start may still be carried out.
// The lock is held.
func (l *life) bar(name NamedRun) {
	if r := l.runs[name]; r != nil {
		if r.stopping {
			return
		}
		r.stopping = true
	}
	l.bars++
	l.s.group.Go(func() error { l.barUntilAnswered(name); return nil })
}

func (l *life) barUntilAnswered(name NamedRun) {
	for l.ctx.Err() == nil {
		if l.callStop(name) == nil {
			break
		}
		l.sleep(retryEvery)
	}
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	l.bars--
	if r := l.runs[name]; r != nil {
		r.phase = phaseBarred
		r.barredAt = l.holds
	}
	l.wakeUp()
}

func (l *life) callStop(name NamedRun) error {
	l.s.mu.Lock()
	token := l.s.term
	l.s.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	err := l.calls.Stop(ctx, name, token)
	if err != nil {
		l.s.log.V(1).Info("stop without an answer", "name", name.Name, "run", name.Run, "err", err)
	}
	return err
}
