// Package leasedworker is a stand-in for a worker whose runs live under a
// lease, for tests: it works for the time that a run's spec says, ends all
// runs when the lease runs out, and can lose answers, carry orders out late
// and fail. A Ledger over all workers checks that no task runs twice at the
// same time or again after it is done.
package leasedworker

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/workeragent"
)

// MaxLease is the longest lease that the stand-in grants.
const MaxLease = time.Second

// ErrLost says that the stand-in's answer was lost.
var ErrLost = errors.New("the answer was lost")

// Ledger sees all starts and ends.
type Ledger struct {
	// MayRepeat allows a start after an end that was noted as done: a job that
	// is not stored may start anew after a loss of the leader.
	MayRepeat bool

	mu      sync.Mutex // guards all below
	running map[string]string
	done    map[string]int
	starts  int
	faults  []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{running: map[string]string{}, done: map[string]int{}}
}

func (l *Ledger) started(worker, task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.running[task]; ok {
		l.faults = append(l.faults, task+" runs on "+at+" and "+worker+" at the same time")
	}
	if l.done[task] > 0 && !l.MayRepeat {
		l.faults = append(l.faults, task+" was started again after it was noted as done")
	}
	l.running[task] = worker
	l.starts++
}

// Starts returns how many runs were started.
func (l *Ledger) Starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

func (l *Ledger) ended(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, task)
}

func (l *Ledger) noted(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done[task]++
}

// Faults returns what went against the promises.
func (l *Ledger) Faults() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.faults...)
}

// Done returns how many tasks are noted as done.
func (l *Ledger) Done() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.done)
}

// Mode is how a worker misbehaves.
type Mode struct {
	// LoseAnswers loses the answer of each start that is carried out.
	LoseAnswers bool
	// LateStarts answers no start, and carries each out after the time.
	LateStarts time.Duration
	// FailAll ends each run as failed at once.
	FailAll bool
	// Dark answers nothing; what runs goes on.
	Dark bool
	// Ended refuses connections, as after the end of the process.
	Ended bool
}

type live struct {
	timer *time.Timer
}

// Worker is one stand-in.
type Worker struct {
	Name   string
	Ledger *Ledger
	born   time.Time

	mu       sync.Mutex // guards all below
	mode     Mode
	token    uint64
	deadline time.Time
	lapse    *time.Timer
	runs     map[workeragent.NamedRun]*live
	barred   map[string]uint64
	ends     []workeragent.EndedRun
	// lapses counts the leases that ran out; endedIn is the count at each end.
	lapses  int
	endedIn map[uint64]int
	seq     uint64
	changed chan struct{}
	left    bool
}

// New returns a worker that runs nothing.
func New(name string, l *Ledger) *Worker {
	return &Worker{
		Name: name, Ledger: l, born: time.Now(),
		runs: map[workeragent.NamedRun]*live{}, barred: map[string]uint64{}, endedIn: map[uint64]int{}, changed: make(chan struct{}),
	}
}

// Announcement returns what the worker says of itself.
func (w *Worker) Announcement(pool string, milliCPU int) contract.WorkerAnnouncement {
	return contract.WorkerAnnouncement{
		ID: contract.HostID(w.Name), StartedMillis: w.born.UnixMilli(), Seq: 1, Addr: w.Name, Pool: pool,
		Capacity: contract.Capacity{MilliCPU: milliCPU, MemoryMB: 1 << 20},
	}
}

// SetMode changes how the worker misbehaves.
func (w *Worker) SetMode(m Mode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = m
}

// Running returns how many runs are alive.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// Leave makes the worker announce itself no more.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = true
}

// Announcing reports whether the worker still announces itself.
func (w *Worker) Announcing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.left
}

// End ends the worker's process with all that runs.
func (w *Worker) End() {
	w.SetMode(Mode{Ended: true})
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, r := range w.runs {
		r.timer.Stop()
		w.Ledger.ended(name.Name)
	}
	clear(w.runs)
}

// reach fails where the worker can't be reached.
func (w *Worker) reach(ctx context.Context) error {
	w.mu.Lock()
	mode := w.mode
	w.mu.Unlock()
	switch {
	case mode.Dark:
		<-ctx.Done()
		return ctx.Err()
	case mode.Ended:
		return workeragent.ErrNotListening
	}
	return nil
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// Close does nothing.
func (w *Worker) Close() {}

// Start starts a run for as many milliseconds as its spec says.
func (w *Worker) Start(ctx context.Context, c workeragent.StartCall) (workeragent.Refusal, error) {
	if err := w.reach(ctx); err != nil {
		return 0, err
	}
	w.mu.Lock()
	mode := w.mode
	w.mu.Unlock()
	if mode.LateStarts > 0 {
		time.AfterFunc(mode.LateStarts, func() { w.start(c) })
		return 0, ErrLost
	}
	r := w.start(c)
	if mode.LoseAnswers {
		return 0, ErrLost
	}
	return r, nil
}

func (w *Worker) start(c workeragent.StartCall) workeragent.Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Token < w.token {
		return workeragent.RefusedFenced
	}
	w.token = c.Token
	if c.Deadline < w.clock() {
		return workeragent.RefusedExpired
	}
	w.extend(c.Deadline)
	name := workeragent.NamedRun{Name: c.Name, Run: c.Run}
	if w.runs[name] != nil {
		return workeragent.NotRefused
	}
	if c.Run <= w.barred[c.Name] {
		return workeragent.RefusedStaleRun
	}
	w.Ledger.started(w.Name, c.Name)
	ms, err := strconv.Atoi(c.Spec)
	how := contract.EndDone
	if err != nil || w.mode.FailAll {
		ms, how = 0, contract.EndFailed
	}
	w.runs[name] = &live{timer: time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { w.finish(name, how) })}
	return workeragent.NotRefused
}

// extend moves the end of the lease. The lock is held.
func (w *Worker) extend(deadline int64) {
	at := w.born.Add(min(time.Duration(deadline)*time.Millisecond, time.Since(w.born)+MaxLease))
	if !at.After(w.deadline) {
		return
	}
	if !w.deadline.IsZero() && time.Now().After(w.deadline) {
		w.lapses++
	}
	w.deadline = at
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Until(at), w.lapseAll)
}

func (w *Worker) lapseAll() {
	w.mu.Lock()
	names := make([]workeragent.NamedRun, 0, len(w.runs))
	if !time.Now().Before(w.deadline) {
		for name := range w.runs {
			names = append(names, name)
		}
	}
	w.mu.Unlock()
	for _, name := range names {
		w.finish(name, contract.EndLeaseExpired)
	}
}

func (w *Worker) finish(name workeragent.NamedRun, how contract.RunEndKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[name]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.runs, name)
	w.barred[name.Name] = max(w.barred[name.Name], name.Run)
	w.seq++
	w.ends = append(w.ends, workeragent.EndedRun{NamedRun: name, Seq: w.seq, How: how})
	w.endedIn[w.seq] = w.lapses
	w.Ledger.ended(name.Name)
	close(w.changed)
	w.changed = make(chan struct{})
}

// Stop ends a run, and bars it where it is not there yet.
func (w *Worker) Stop(ctx context.Context, r workeragent.NamedRun, token uint64) error {
	if err := w.reach(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	if token < w.token {
		w.mu.Unlock()
		return workeragent.ErrFenced
	}
	w.token = token
	w.barred[r.Name] = max(w.barred[r.Name], r.Run)
	w.mu.Unlock()
	w.finish(r, contract.EndStopped)
	return nil
}

// Poll extends the lease, notes ends, and lists what runs.
func (w *Worker) Poll(ctx context.Context, c workeragent.PollCall) (workeragent.PollReply, error) {
	if err := w.reach(ctx); err != nil {
		return workeragent.PollReply{}, err
	}
	w.mu.Lock()
	if c.Token < w.token {
		w.mu.Unlock()
		return workeragent.PollReply{Clock: w.clock()}, workeragent.ErrFenced
	}
	w.token = c.Token
	if c.Deadline > 0 {
		w.extend(c.Deadline)
	}
	w.note(c.AckedSeq)
	changed := w.changed
	wait := c.Wait > 0 && len(w.ends) == 0
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(c.Wait):
		case <-ctx.Done():
			return workeragent.PollReply{}, ctx.Err()
		}
	}
	return w.list(), nil
}

// note forgets ends. One that is done counts for good, unless the lease has
// run out since. The lock is held.
func (w *Worker) note(seen uint64) {
	lapsed := !time.Now().Before(w.deadline)
	n := 0
	for n < len(w.ends) && w.ends[n].Seq <= seen {
		if w.ends[n].How == contract.EndDone && !lapsed && w.endedIn[w.ends[n].Seq] == w.lapses {
			w.Ledger.noted(w.ends[n].Name)
		}
		n++
	}
	w.ends = w.ends[n:]
}

func (w *Worker) list() workeragent.PollReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := workeragent.PollReply{Clock: w.clock(), Ended: append([]workeragent.EndedRun(nil), w.ends...)}
	for name := range w.runs {
		h.Running = append(h.Running, name)
	}
	return h
}
