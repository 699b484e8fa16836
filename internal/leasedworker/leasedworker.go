// Package leasedworker provides a fake worker with leased runs for tests. A run
// lasts for the number of milliseconds in its spec, and all runs end when the
// lease expires. The worker can be configured to lose answers, start runs late, fail
// runs or stop responding. A RunChecker shared by all workers checks that no task
// runs twice at the same time, or again after its completion was acknowledged.
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

// MaxLease is the longest time for which a call can extend the lease of a Worker.
const MaxLease = time.Second

// CrashSpec is the spec of a task that crashes each worker that starts it, crashDelay
// after its start.
const CrashSpec = "crash"

const crashDelay = 5 * time.Millisecond

// ErrAnswerLost is returned by Worker.Start and Worker.Stop if the worker's mode loses
// the answer.
var ErrAnswerLost = errors.New("answer lost")

// RunChecker records the starts and ends of runs on all workers and collects the
// violations of these rules: a task has at most one run at a time, and no run starts
// after the completion of the task was acknowledged.
type RunChecker struct {
	// AllowRerun allows a start after the task's completion was acknowledged: a job
	// that is not stored may be started again after the leader is lost.
	AllowRerun bool
	// AllowStart, if set, reports whether a task may start on a worker. It is set before the
	// first start.
	AllowStart func(worker, task string) bool

	mu                      sync.Mutex        // guards the fields below
	runningOn               map[string]string // worker by task
	acknowledgedCompletions map[string]int    // number of acknowledged completions by task
	voidCompletions         map[string]int    // number of completions by task that were acknowledged after their lease
	startCount              int
	crashesUnder            map[string]int // number of workers that a task has crashed
	violations              []string
}

// NewRunChecker returns a RunChecker without recorded runs.
func NewRunChecker() *RunChecker {
	return &RunChecker{runningOn: map[string]string{}, acknowledgedCompletions: map[string]int{}, voidCompletions: map[string]int{}, crashesUnder: map[string]int{}}
}

func (c *RunChecker) recordStart(worker, task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.runningOn[task]; ok {
		c.violations = append(c.violations, task+" runs on "+other+" and "+worker+" at the same time")
	}
	if c.acknowledgedCompletions[task] > 0 && !c.AllowRerun {
		c.violations = append(c.violations, task+" was started again after its completion was acknowledged")
	}
	if c.AllowStart != nil && !c.AllowStart(worker, task) {
		c.violations = append(c.violations, task+" was started on "+worker+", which no tables allow")
	}
	c.runningOn[task] = worker
	c.startCount++
}

// Starts returns the number of runs started.
func (c *RunChecker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startCount
}

func (c *RunChecker) recordEnd(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.runningOn, task)
}

// recordAcknowledgedCompletion records that a completion was acknowledged. It does not
// count if the lease had expired by then.
func (c *RunChecker) recordAcknowledgedCompletion(task string, counts bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counts {
		c.acknowledgedCompletions[task]++
	} else {
		c.voidCompletions[task]++
	}
}

func (c *RunChecker) recordCrash(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashesUnder[task]++
}

// MostCrashes returns the highest number of workers that one task has crashed.
func (c *RunChecker) MostCrashes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for _, n := range c.crashesUnder {
		most = max(most, n)
	}
	return most
}

// TotalCrashes returns how often a task has crashed a worker.
func (c *RunChecker) TotalCrashes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, n := range c.crashesUnder {
		total += n
	}
	return total
}

// Violations returns a description of each violation.
func (c *RunChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// AcknowledgedCompletions returns the number of tasks whose completion was
// acknowledged, under its lease or after it.
func (c *RunChecker) AcknowledgedCompletions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.acknowledgedCompletions)
	for task := range c.voidCompletions {
		if c.acknowledgedCompletions[task] == 0 {
			n++
		}
	}
	return n
}

// Mode selects the faults that a worker simulates.
type Mode struct {
	// LoseAnswers starts each run but loses the answer to the start.
	LoseAnswers bool
	// StartDelay loses the answer of each start, and starts the run only after this
	// delay. Zero disables it.
	StartDelay time.Duration
	// FailAll ends each run immediately as failed.
	FailAll bool
	// Unresponsive leaves every call unanswered, while active runs continue.
	Unresponsive bool
	// LoseStops loses each stop, which then has no effect.
	LoseStops bool
	// Exited refuses connections, as if the worker's process had exited.
	Exited bool
}

type activeRun struct {
	timer *time.Timer
}

// Worker is a fake worker; it implements workeragent.WorkerClient.
type Worker struct {
	Name    string
	Checker *RunChecker

	mu           sync.Mutex // guards the fields below
	startedAt    time.Time
	mode         Mode
	highestToken uint64
	leaseEnd     time.Time
	expiryTimer  *time.Timer
	runs         map[workeragent.NamedRun]*activeRun
	// staleUpTo is, for each task, the highest run number that has ended or was
	// stopped. A start with this or a lower run number is refused as stale.
	staleUpTo          map[string]uint64
	unacknowledgedEnds []workeragent.EndedRun
	// leaseExpiries counts the expired leases; expiriesAtEnd is the value of that count
	// at each end of a run, by the end's sequence number.
	leaseExpiries int
	expiriesAtEnd map[uint64]int
	lastSeq       uint64
	startCount    int
	crashCount    int
	// runEnded is closed and replaced at each end of a run.
	runEnded             chan struct{}
	announcementsStopped bool
}

// New returns a worker without runs that reports its runs to checker.
func New(name string, checker *RunChecker) *Worker {
	return &Worker{
		Name: name, Checker: checker, startedAt: time.Now(),
		runs: map[workeragent.NamedRun]*activeRun{}, staleUpTo: map[string]uint64{}, expiriesAtEnd: map[uint64]int{}, runEnded: make(chan struct{}),
	}
}

// Announcement returns the message with which the worker registers for a pool.
func (w *Worker) Announcement(pool string, milliCPU int) contract.WorkerAnnouncement {
	w.mu.Lock()
	defer w.mu.Unlock()
	return contract.WorkerAnnouncement{
		ID: contract.HostID(w.Name), StartedMillis: w.startedAt.UnixMilli(), Seq: 1, Addr: w.Name, Pool: pool,
		Capacity: contract.Capacity{MilliCPU: milliCPU, MemoryMB: 1 << 20},
	}
}

// SetMode replaces the simulated faults.
func (w *Worker) SetMode(m Mode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = m
}

// Running returns the number of active runs.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// Starts returns the number of runs started on the worker.
func (w *Worker) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startCount
}

// StopAnnouncing makes the worker stop announcing itself.
func (w *Worker) StopAnnouncing() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announcementsStopped = true
}

// Announcing reports whether the worker still announces itself.
func (w *Worker) Announcing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.announcementsStopped
}

// Exit simulates the exit of the worker's process, which ends all its runs.
func (w *Worker) Exit() {
	w.SetMode(Mode{Exited: true})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endProcess()
}

// endProcess ends all runs without listing their ends. The caller holds mu.
func (w *Worker) endProcess() {
	for name, r := range w.runs {
		r.timer.Stop()
		w.Checker.recordEnd(name.Name)
	}
	clear(w.runs)
}

// Crashes returns how often a task has crashed the worker.
func (w *Worker) Crashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashCount
}

// crash ends the process some milliseconds after the start of a task that crashes it.
func (w *Worker) crash(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mode.Exited {
		return
	}
	w.crashCount++
	w.Checker.recordCrash(task)
	w.mode = Mode{Exited: true}
	w.endProcess()
}

// Restart starts a new instance of the worker, which holds and knows nothing of the one
// before.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expiryTimer != nil {
		w.expiryTimer.Stop()
	}
	w.startedAt, w.mode = time.Now(), Mode{}
	w.highestToken, w.leaseEnd, w.lastSeq = 0, time.Time{}, 0
	w.staleUpTo, w.expiriesAtEnd, w.unacknowledgedEnds = map[string]uint64{}, map[uint64]int{}, nil
}

// checkReachable returns an error if the mode makes the worker unreachable. In
// mode Unresponsive it blocks until ctx ends.
func (w *Worker) checkReachable(ctx context.Context) error {
	w.mu.Lock()
	mode := w.mode
	w.mu.Unlock()
	switch {
	case mode.Unresponsive:
		<-ctx.Done()
		return ctx.Err()
	case mode.Exited:
		return workeragent.ErrNotListening
	}
	return nil
}

// clock returns the worker's clock: the milliseconds since its instance started. The
// caller holds mu.
func (w *Worker) clock() int64 { return time.Since(w.startedAt).Milliseconds() }

// Close implements workeragent.WorkerClient; there is no connection to close.
func (w *Worker) Close() {}

// Start starts a run that lasts for the number of milliseconds in its spec. A
// spec that is not a number fails the run immediately.
func (w *Worker) Start(ctx context.Context, c workeragent.StartCall) (workeragent.Refusal, error) {
	if err := w.checkReachable(ctx); err != nil {
		return 0, err
	}
	w.mu.Lock()
	mode := w.mode
	w.mu.Unlock()
	if mode.StartDelay > 0 {
		time.AfterFunc(mode.StartDelay, func() { w.startRun(c) })
		return 0, ErrAnswerLost
	}
	r := w.startRun(c)
	if mode.LoseAnswers {
		return 0, ErrAnswerLost
	}
	return r, nil
}

func (w *Worker) startRun(c workeragent.StartCall) workeragent.Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Token < w.highestToken {
		return workeragent.RefusedFenced
	}
	w.highestToken = c.Token
	if c.DeadlineMS < w.clock() {
		return workeragent.RefusedExpired
	}
	w.extendLease(c.DeadlineMS)
	name := workeragent.NamedRun{Name: c.Name, Run: c.Run}
	if w.runs[name] != nil {
		return workeragent.NotRefused
	}
	if c.Run <= w.staleUpTo[c.Name] {
		return workeragent.RefusedStaleRun
	}
	w.startCount++
	w.Checker.recordStart(w.Name, c.Name)
	if c.Spec == CrashSpec {
		w.runs[name] = &activeRun{timer: time.AfterFunc(crashDelay, func() { w.crash(c.Name) })}
		return workeragent.NotRefused
	}
	ms, err := strconv.Atoi(c.Spec)
	end := contract.EndDone
	if err != nil || w.mode.FailAll {
		ms, end = 0, contract.EndFailed
	}
	w.runs[name] = &activeRun{timer: time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { w.endRun(name, end) })}
	return workeragent.NotRefused
}

// extendLease extends the lease to deadline, in milliseconds on the worker's
// clock, but to at most MaxLease from now. It never shortens the lease. The
// caller holds mu.
func (w *Worker) extendLease(deadline int64) {
	end := w.startedAt.Add(min(time.Duration(deadline)*time.Millisecond, time.Since(w.startedAt)+MaxLease))
	if !end.After(w.leaseEnd) {
		return
	}
	if !w.leaseEnd.IsZero() && time.Now().After(w.leaseEnd) {
		w.leaseExpiries++
	}
	w.leaseEnd = end
	if w.expiryTimer != nil {
		w.expiryTimer.Stop()
	}
	w.expiryTimer = time.AfterFunc(time.Until(end), w.expireLease)
}

func (w *Worker) expireLease() {
	w.mu.Lock()
	names := make([]workeragent.NamedRun, 0, len(w.runs))
	if !time.Now().Before(w.leaseEnd) {
		for name := range w.runs {
			names = append(names, name)
		}
	}
	w.mu.Unlock()
	for _, name := range names {
		w.endRun(name, contract.EndLeaseExpired)
	}
}

func (w *Worker) endRun(name workeragent.NamedRun, end contract.RunEndKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[name]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.runs, name)
	w.staleUpTo[name.Name] = max(w.staleUpTo[name.Name], name.Run)
	w.lastSeq++
	w.unacknowledgedEnds = append(w.unacknowledgedEnds, workeragent.EndedRun{NamedRun: name, Seq: w.lastSeq, Kind: end})
	w.expiriesAtEnd[w.lastSeq] = w.leaseExpiries
	w.Checker.recordEnd(name.Name)
	close(w.runEnded)
	w.runEnded = make(chan struct{})
}

// Stop ends a run. If the run has not started yet, its start will be refused as stale.
func (w *Worker) Stop(ctx context.Context, r workeragent.NamedRun, token uint64) error {
	if err := w.checkReachable(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	if w.mode.LoseStops {
		w.mu.Unlock()
		return ErrAnswerLost
	}
	if token < w.highestToken {
		w.mu.Unlock()
		return workeragent.ErrFenced
	}
	w.highestToken = token
	w.staleUpTo[r.Name] = max(w.staleUpTo[r.Name], r.Run)
	w.mu.Unlock()
	w.endRun(r, contract.EndStopped)
	return nil
}

// Poll extends the lease, discards the acknowledged ends, and returns the active
// runs and the ends that are not acknowledged. If there are no such ends, it first
// waits for up to c.Wait until a run ends.
func (w *Worker) Poll(ctx context.Context, c workeragent.PollCall) (workeragent.PollReply, error) {
	if err := w.checkReachable(ctx); err != nil {
		return workeragent.PollReply{}, err
	}
	w.mu.Lock()
	if c.Token < w.highestToken {
		defer w.mu.Unlock()
		return workeragent.PollReply{ClockMS: w.clock()}, workeragent.ErrFenced
	}
	w.highestToken = c.Token
	if c.DeadlineMS > 0 {
		w.extendLease(c.DeadlineMS)
	}
	w.acknowledge(c.AckedSeq)
	changed := w.runEnded
	wait := c.Wait > 0 && len(w.unacknowledgedEnds) == 0
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(c.Wait):
		case <-ctx.Done():
			return workeragent.PollReply{}, ctx.Err()
		}
	}
	if err := w.checkReachable(ctx); err != nil {
		return workeragent.PollReply{}, err
	}
	return w.pollReply(), nil
}

// acknowledge discards the ends up to a sequence number. It reports completions to
// the RunChecker, except those after which the lease has expired. The caller holds
// mu.
func (w *Worker) acknowledge(ackedSeq uint64) {
	expired := !time.Now().Before(w.leaseEnd)
	n := 0
	for n < len(w.unacknowledgedEnds) && w.unacknowledgedEnds[n].Seq <= ackedSeq {
		if e := w.unacknowledgedEnds[n]; e.Kind == contract.EndDone {
			w.Checker.recordAcknowledgedCompletion(e.Name, !expired && w.expiriesAtEnd[e.Seq] == w.leaseExpiries)
		}
		n++
	}
	w.unacknowledgedEnds = w.unacknowledgedEnds[n:]
}

func (w *Worker) pollReply() workeragent.PollReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := workeragent.PollReply{ClockMS: w.clock(), Ended: append([]workeragent.EndedRun(nil), w.unacknowledgedEnds...)}
	for name := range w.runs {
		reply.Running = append(reply.Running, name)
	}
	return reply
}
