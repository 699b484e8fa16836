package record_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/agent"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/job"
	"github.com/carawaylanding/carawaylanding/record"
)

// mistakes switch off parts of the protocol.
type mistakes struct {
	gateOff, abstentionOff, fenceIgnored, startFirst, epochsIgnored bool
	anyIncarnation, lateVotes, planForgotten, oldReports, sealOff   bool
}

const (
	histEntries = 3
	histWorkers = 2
	histTasks   = 2
	histSlots   = 1
	histJob     = contract.JobID("k")
)

// world is a few entries, which are the record holders, and a few workers, on
// a network that delays, reorders, duplicates and drops.
type world struct {
	mistakes
	choose  func(n int) int
	step    int
	entries []*simEntry
	workers []*simWorker
	net     []envelope
	starts  [histTasks]int
	whole   int
	fault   string
}

type envelope struct {
	deliver func()
	to      string
}

type simEntry struct {
	w      *world
	index  int
	life   int // step of the last start
	ref    host.Ref
	holder *record.Holder
	count  uint64
	run    *simRun
	ops    []*simOp
	sees   [histWorkers]host.Ref
}

type simWorker struct {
	ref     host.Ref
	gate    *agent.Gate
	running []*contract.Start
	// unreached are running tasks whose upstream can't be reached.
	unreached map[contract.TaskID]bool
	owners    map[contract.TaskID]simOwner
	done      map[contract.TaskID]*contract.Result
}

// simOwner is one life of an entry.
type simOwner struct {
	*simEntry
	life host.Ref
}

type simRun struct {
	job      *job.Job
	digest   string
	epoch    contract.RecordEpoch
	over     bool
	sealing  bool
	answered bool
	placing  bool // the inquiries of a takeover are over, or there were none
}

type simOp struct {
	run     *simRun
	tally   *record.Tally
	began   int
	prepare bool
	seal    bool
	batch   []contract.Placement
	closed  bool
	// starts are the world's starts when a seal began.
	starts [histTasks]int
}

var epoch0 = time.Unix(0, 0)

func newWorld(choose func(int) int, m mistakes) *world {
	w := &world{mistakes: m, choose: choose}
	for i := range histWorkers {
		w.workers = append(w.workers, &simWorker{})
		w.startWorker(i)
	}
	for i := range histEntries {
		w.entries = append(w.entries, &simEntry{w: w, index: i})
		w.startEntry(w.entries[i], true)
	}
	return w
}

func (w *world) startWorker(i int) {
	inc := w.workers[i].ref.Incarnation + 1
	w.workers[i] = &simWorker{
		ref:    host.Ref{Host: contract.HostID(fmt.Sprint("w", i)), Incarnation: inc},
		gate:   agent.NewGate(inc, contract.Capacity{Slots: histSlots}),
		owners: make(map[contract.TaskID]simOwner),
		done:   make(map[contract.TaskID]*contract.Result),

		unreached: make(map[contract.TaskID]bool),
	}
}

func (w *world) startEntry(e *simEntry, fresh bool) {
	e.ref = host.Ref{Host: contract.HostID(fmt.Sprint("e", e.index)), Incarnation: e.ref.Incarnation + 1}
	e.life = w.step
	e.holder = record.NewHolder(record.Config{}, fresh || w.abstentionOff, epoch0)
	e.run = nil
	e.ops = nil
	for i, wk := range w.workers {
		e.sees[i] = wk.ref
	}
}

// send puts a message to one process on the network; alive says whether the
// addressee still is the process that it was sent to.
func (w *world) send(to string, alive func() bool, deliver func()) {
	w.net = append(w.net, envelope{to: to, deliver: func() {
		if alive() {
			deliver()
		}
	}})
}

func (w *world) toEntry(e *simEntry, f func()) { w.toProcess(e, e.ref, f) }

// toProcess sends to one life of an entry, as a link does.
func (w *world) toProcess(e *simEntry, ref host.Ref, f func()) {
	w.send(string(ref.Host), func() bool { return e.ref == ref }, f)
}

func (w *world) toWorker(ref host.Ref, f func(*simWorker)) {
	i := slices.IndexFunc(w.workers, func(wk *simWorker) bool { return wk.ref.Host == ref.Host })
	w.send(string(ref.Host), func() bool { return w.workers[i].ref == ref || w.anyIncarnation }, func() { f(w.workers[i]) })
}

// submit brings a submission of the key to an entry.
func (e *simEntry) submit(digest string) {
	round := uint64(contract.FirstRound)
	if r := e.run; r != nil {
		if r.digest != digest || !r.over && !r.answered || r.answered && r.job.Err() == nil {
			return // refused, attached, or answered again
		}
		round = r.epoch.Round + 1
	}
	e.begin(digest, round)
}

func (e *simEntry) begin(digest string, round uint64) {
	e.count++
	r := &simRun{job: job.New(histJob, histTasks), digest: digest}
	r.epoch = contract.RecordEpoch{Round: round, Host: e.ref.Host, Incarnation: e.ref.Incarnation, Attempt: e.count}
	e.run = r
	if round == contract.FirstRound {
		r.placing = true
		e.ask(&simOp{run: r, batch: e.place(r)})
		return
	}
	e.ask(&simOp{run: r, prepare: true})
}

// place puts each task that waits on a worker that the entry sees.
func (e *simEntry) place(r *simRun) []contract.Placement {
	var batch []contract.Placement
	for i := range uint32(histTasks) {
		ref := e.sees[e.w.choose(histWorkers)]
		if attempt, ok := r.job.Place(i, ref); ok {
			batch = append(batch, contract.Placement{Task: i, Attempt: attempt, Worker: ref.Host, Incarnation: ref.Incarnation})
		}
	}
	return batch
}

func (e *simEntry) ask(op *simOp) {
	op.tally = record.NewTally(histEntries)
	op.began = e.w.step
	e.ops = append(e.ops, op)
	if e.w.startFirst && !op.prepare {
		e.sendStarts(op)
	}
	self := e.ref
	for _, h := range e.w.entries {
		e.w.toEntry(h, func() {
			reply := h.vote(op)
			from := h.ref.Host
			e.w.toProcess(e, self, func() {
				if !op.closed {
					op.tally.Add(from, reply)
					e.decide(op, false)
				}
			})
		})
	}
}

func (e *simEntry) vote(op *simOp) *contract.RecordReply {
	r := op.run
	if op.prepare {
		reply := e.holder.Prepare(epoch0, &contract.RecordPrepare{Job: histJob, Digest: r.digest, Epoch: r.epoch, TTL: time.Minute})
		if e.w.planForgotten {
			reply.Plan = nil
		}
		return reply
	}
	m := &contract.RecordWrite{Job: histJob, Digest: r.digest, Epoch: r.epoch, Plan: op.batch, TTL: time.Minute}
	reply := e.holder.Write(epoch0, m)
	if e.w.epochsIgnored && reply.Verdict == contract.RecordOwned {
		reply.Verdict = contract.RecordGranted
	}
	return reply
}

// decide carries a quorum's verdict out; late is the end of the wait for it.
func (e *simEntry) decide(op *simOp, late bool) {
	verdict := op.tally.Verdict()
	if late {
		verdict = op.tally.Final()
	}
	if verdict == record.Undecided || op.closed {
		return
	}
	op.closed = true
	r := op.run
	switch {
	case verdict == record.Granted && op.prepare:
		e.adopt(r, op.tally.Plan())
	case op.seal:
		e.sealed(op, verdict)
	case verdict == record.Granted:
		if !e.w.startFirst {
			e.sendStarts(op)
		}
	default:
		r.over = true
		for _, p := range op.batch {
			r.job.Unsent(p.Task, refOf(p), p.Attempt)
		}
		if verdict == record.Owned && e.run == r && e.w.choose(2) == 0 {
			e.begin(r.digest, op.tally.Owner().Round+1) // the owner seems gone
		}
	}
}

func (e *simEntry) sendStarts(op *simOp) {
	for _, p := range op.batch {
		if !op.run.job.Send(p.Task, refOf(p), p.Attempt) {
			op.run.job.Unsent(p.Task, refOf(p), p.Attempt)
			continue
		}
		s := &contract.Start{
			Task: contract.TaskID{Job: histJob, Index: p.Task}, To: p.Incarnation, Attempt: p.Attempt,
			Payload: fmt.Appendf(nil, "%s%d", op.run.digest, p.Task),
		}
		owner := simOwner{e, e.ref}
		e.w.toWorker(refOf(p), func(wk *simWorker) { e.w.offer(wk, owner, s) })
	}
}

func refOf(p contract.Placement) host.Ref {
	return host.Ref{Host: p.Worker, Incarnation: p.Incarnation}
}

func (e *simEntry) adopt(r *simRun, plan []contract.Placement) {
	for _, p := range plan {
		r.job.Adopt(p.Task, refOf(p), p.Attempt)
	}
	r.placing = true
	for _, ref := range r.job.Holders() {
		e.fence(r, ref)
	}
	e.extend(r)
}

// fence asks a worker about all that the run may have there.
func (e *simEntry) fence(r *simRun, ref host.Ref) {
	ids, attempts := r.job.Held(ref)
	owner := simOwner{e, e.ref}
	e.w.toWorker(ref, func(wk *simWorker) {
		for i, id := range ids {
			state := wk.gate.Fence(id, attempts[i])
			if e.w.fenceIgnored && state == contract.TaskFenced {
				wk.gate = agent.NewGate(wk.ref.Incarnation, contract.Capacity{Slots: histSlots})
			}
			attempt := wk.gate.Attempt(id)
			wk.owners[id] = owner
			if res := wk.done[id]; res != nil {
				owner.tell(func() { e.result(ref, res) })
			}
			if state == contract.TaskFenced {
				owner.tell(func() { e.unsent(id, ref, max(attempt, attempts[i])) })
				continue
			}
			owner.tell(func() { e.current(func(r *simRun) { r.job.Started(id.Index, ref) }) })
		}
	})
}

func (e *simEntry) current(f func(*simRun)) {
	if e.run != nil && !e.run.over {
		f(e.run)
		e.settle(e.run)
	}
}

func (e *simEntry) unsent(id contract.TaskID, ref host.Ref, attempt uint32) {
	e.current(func(r *simRun) {
		if e.w.oldReports {
			attempt = r.job.Attempt(id.Index)
		}
		if r.job.Unsent(id.Index, ref, attempt) {
			e.extend(r)
		}
	})
}

func (e *simEntry) extend(r *simRun) {
	if r.over || !r.placing {
		return
	}
	if batch := e.place(r); len(batch) > 0 {
		e.ask(&simOp{run: r, batch: batch})
	}
}

func (e *simEntry) result(ref host.Ref, res *contract.Result) {
	e.current(func(r *simRun) {
		if r.job.Result(ref, res) == job.Requeued {
			e.extend(r)
		}
	})
}

// settle ends a job that is done. One that failed is sealed first.
func (e *simEntry) settle(r *simRun) {
	if r.answered || r.sealing || !r.job.Done() {
		return
	}
	if r.job.Err() != nil && r.job.AnyNotRun() && !e.w.sealOff {
		r.sealing = true
		e.ask(&simOp{run: r, seal: true, starts: e.w.starts})
		return
	}
	e.answer(r, e.w.starts)
}

func (e *simEntry) sealed(op *simOp, verdict record.Verdict) {
	switch verdict {
	case record.Granted:
	case record.Owned:
		op.run.over = true
		return
	default:
		op.run.job.Doubt()
	}
	e.answer(op.run, op.starts)
}

// answer checks the answer, given the starts of which it must know.
func (e *simEntry) answer(r *simRun, starts [histTasks]int) {
	r.answered = true
	if r.job.Err() == nil {
		e.w.whole++
	}
	for i, t := range r.job.Results() {
		switch {
		case r.job.Err() == nil && (t.Outcome != contract.OutcomeRan || e.w.starts[i] == 0):
			e.w.fail("a whole answer without task %d", i)
		case t.Outcome == contract.OutcomeRan && string(t.Body) != fmt.Sprint(r.digest, i):
			e.w.fail("task %d of body %s was answered with %s", i, r.digest, t.Body)
		case t.Outcome == contract.OutcomeNotRun && starts[i] > 0:
			e.w.fail("an untrue not-run of task %d", i)
		}
	}
}

func (o simOwner) tell(f func()) { o.w.toProcess(o.simEntry, o.life, f) }

func (w *world) offer(wk *simWorker, from simOwner, s *contract.Start) {
	if w.anyIncarnation {
		s.To = wk.ref.Incarnation
	}
	verdict, _ := wk.gate.Offer(s)
	if verdict == agent.VerdictRun || verdict == agent.VerdictWait {
		delete(wk.done, s.Task)
	}
	if w.gateOff && verdict == agent.VerdictDuplicate {
		verdict = agent.VerdictRun
	}
	if verdict == agent.VerdictRun || verdict == agent.VerdictWait {
		wk.owners[s.Task] = from
	}
	switch verdict {
	case agent.VerdictRun:
		w.run(wk, s)
	case agent.VerdictRefuse:
		ref := wk.ref
		from.tell(func() { from.unsent(s.Task, ref, s.Attempt) })
	}
}

func (w *world) run(wk *simWorker, s *contract.Start) {
	wk.running = append(wk.running, s)
	if w.choose(6) == 0 {
		wk.unreached[s.Task] = true
		return
	}
	i := s.Task.Index
	w.starts[i]++
	if w.starts[i] > 1 {
		w.fail("task %d started %d times", i, w.starts[i])
	}
}

func (w *world) finish(wk *simWorker) {
	if len(wk.running) == 0 {
		return
	}
	n := w.choose(len(wk.running))
	s := wk.running[n]
	wk.running = slices.Delete(wk.running, n, n+1)
	res := &contract.Result{Task: s.Task, Attempt: s.Attempt, Outcome: contract.OutcomeRan, Status: 200, Body: s.Payload}
	reached := !wk.unreached[s.Task]
	if !reached {
		delete(wk.unreached, s.Task)
		res = &contract.Result{Task: s.Task, Attempt: s.Attempt, Outcome: contract.OutcomeNotRun}
	}
	wk.done[s.Task] = res
	owner, ref := wk.owners[s.Task], wk.ref
	owner.tell(func() { owner.result(ref, res) })
	for _, next := range wk.gate.Finish(s.Task, reached) {
		w.run(wk, next)
	}
}

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf("step %d: ", w.step) + fmt.Sprintf(format, args...)
	}
}

// recover lets a restarted holder copy the others' records. Quorum requests
// that began before the restart have timed out by then.
func (w *world) recover(e *simEntry) {
	if e.holder.Serving(epoch0) {
		return
	}
	if !w.lateVotes {
		for _, other := range w.entries {
			for _, op := range slices.Clone(other.ops) {
				if op.began <= e.life {
					other.decide(op, true)
				}
			}
		}
	}
	rec := record.NewRecovery(histEntries)
	for _, other := range w.entries {
		if other != e {
			from := other.ref.Host
			for next := rec.Next(from); next != nil && rec.Page(from, other.holder.Page(epoch0, next)); next = rec.Next(from) {
			}
		}
	}
	rec.Finish(e.holder, epoch0)
}

// advance takes one random step.
func (w *world) advance() {
	w.step++
	e := w.entries[w.choose(histEntries)]
	wi := w.choose(histWorkers)
	switch w.choose(24) {
	case 0, 1:
		body := "a"
		if w.choose(8) == 0 {
			body = "b"
		}
		e.submit(body)
	case 2:
		if w.choose(3) == 0 {
			w.startEntry(e, false)
		}
	case 3:
		if w.choose(4) == 0 {
			w.startWorker(wi)
		}
	case 4:
		w.recover(e)
	case 5: // a quorum request times out
		if len(e.ops) > 0 {
			e.decide(e.ops[w.choose(len(e.ops))], true)
		}
	case 6: // a worker is given up, or its restart is seen
		ref := e.sees[wi]
		e.sees[wi] = w.workers[wi].ref
		if ref != e.sees[wi] || w.choose(4) == 0 {
			e.current(func(r *simRun) { r.job.Lost(ref) })
		}
	case 7: // a link comes back: the entry asks about all
		e.current(func(r *simRun) { e.fence(r, e.sees[wi]) })
	case 8, 9, 10, 11:
		w.finish(w.workers[wi])
	default:
		w.carry()
	}
}

// carry delivers, duplicates or drops a message of the network.
func (w *world) carry() {
	if len(w.net) == 0 {
		return
	}
	n := w.choose(len(w.net))
	m := w.net[n]
	fate := w.choose(12)
	if fate != 0 {
		w.net = slices.Delete(w.net, n, n+1)
	}
	if fate != 1 {
		m.deliver()
	}
}

// play runs a history and returns the fault that it found.
func play(choose func(int) int, m mistakes, steps int) *world {
	w := newWorld(choose, m)
	for w.step < steps && w.fault == "" {
		w.advance()
	}
	return w
}
