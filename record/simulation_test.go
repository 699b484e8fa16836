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

// mistakes selects parts of the protocol to break, each of which must lead to a
// violation:
//
//   - gateOff: a worker runs a start of a task that it has started before.
//   - abstentionOff: a restarted holder votes at once.
//   - fencesForgotten: a worker's gate loses all its state after it fences a task.
//   - startBeforeQuorum: a start is sent before a quorum has stored its placement.
//   - epochsIgnored: a holder grants writes of every epoch.
//   - anyIncarnation: a worker accepts starts for its earlier incarnations.
//   - staleVotes: votes that a holder cast before a restart still count after its
//     recovery.
//   - planForgotten: a takeover does not read the plan.
//   - staleReportsAccepted: reports on earlier attempts count for the last one.
//   - sealSkipped: an owner answers not-run without confirming its ownership.
type mistakes struct {
	gateOff, abstentionOff, fencesForgotten, startBeforeQuorum, epochsIgnored    bool
	anyIncarnation, staleVotes, planForgotten, staleReportsAccepted, sealSkipped bool
}

const (
	numEntries     = 3
	numWorkers     = 2
	numTasks       = 2
	slotsPerWorker = 1
	jobID          = contract.JobID("k")
)

// simulation runs a few entries, which are also the record holders, and a few
// workers, on a network that delays, reorders, duplicates and drops messages. All
// submissions are of one job. The clock does not advance.
type simulation struct {
	mistakes
	// choose returns a random number from 0 to n-1.
	choose          func(n int) int
	step            int
	entries         []*simEntry
	workers         []*simWorker
	network         []envelope
	startCounts     [numTasks]int // starts that reached an upstream, by task
	completeAnswers int           // number of answers of jobs that did not fail
	violation       string        // the first violation, or empty
}

// envelope is a message in transit.
type envelope struct {
	deliver func()
	to      string
}

// simEntry is an entry and its record holder.
type simEntry struct {
	sim          *simulation
	index        int
	startedStep  int // step at which this incarnation started
	ref          host.Ref
	holder       *record.Holder
	epochCount   uint64 // number of epochs used by all incarnations
	run          *simRun
	requests     []*quorumRequest
	knownWorkers [numWorkers]host.Ref
}

// simWorker is one incarnation of a worker.
type simWorker struct {
	ref     host.Ref
	gate    *agent.Gate
	running []*contract.Start
	// upstreamUnreachable contains the running tasks whose start does not reach
	// the upstream.
	upstreamUnreachable map[contract.TaskID]bool
	owners              map[contract.TaskID]simOwner
	results             map[contract.TaskID]*contract.Result
}

// simOwner is the incarnation of an entry to which a worker reports on a task.
type simOwner struct {
	*simEntry
	entryRef host.Ref
}

// simRun is an entry's handling of one submission of the job.
type simRun struct {
	job       *job.Job
	digest    string
	epoch     contract.RecordEpoch
	abandoned bool // a write was not granted: the run does not own the job
	sealing   bool // a seal request was sent, see answerIfDone
	answered  bool
	placeable bool // the plan of the earlier owners has been adopted, or there are none
}

// quorumRequest is a request to all holders: a RecordPrepare for a takeover, a
// RecordWrite of placements, or a RecordWrite without placements that seals an
// answer.
type quorumRequest struct {
	run        *simRun
	tally      *record.Tally
	sentStep   int
	prepare    bool
	seal       bool
	placements []contract.Placement
	decided    bool
	// startsAtSeal are the start counts at the time of a seal request.
	startsAtSeal [numTasks]int
}

var simTime = time.Unix(0, 0)

func newSimulation(choose func(int) int, m mistakes) *simulation {
	sim := &simulation{mistakes: m, choose: choose}
	for i := range numWorkers {
		sim.workers = append(sim.workers, &simWorker{})
		sim.startWorker(i)
	}
	for i := range numEntries {
		sim.entries = append(sim.entries, &simEntry{sim: sim, index: i})
		sim.startEntry(sim.entries[i], true)
	}
	return sim
}

func (sim *simulation) startWorker(i int) {
	inc := sim.workers[i].ref.Incarnation + 1
	sim.workers[i] = &simWorker{
		ref:     host.Ref{Host: contract.HostID(fmt.Sprint("w", i)), Incarnation: inc},
		gate:    agent.NewGate(inc, contract.Capacity{Slots: slotsPerWorker}),
		owners:  make(map[contract.TaskID]simOwner),
		results: make(map[contract.TaskID]*contract.Result),

		upstreamUnreachable: make(map[contract.TaskID]bool),
	}
}

func (sim *simulation) startEntry(e *simEntry, fresh bool) {
	e.ref = host.Ref{Host: contract.HostID(fmt.Sprint("e", e.index)), Incarnation: e.ref.Incarnation + 1}
	e.startedStep = sim.step
	e.holder = record.NewHolder(record.Config{}, fresh || sim.abstentionOff, simTime)
	e.run = nil
	e.requests = nil
	for i, wk := range sim.workers {
		e.knownWorkers[i] = wk.ref
	}
}

// send puts a message to a host on the network. When it is delivered, alive reports
// whether the host's current process is still the one that it was sent to.
func (sim *simulation) send(to string, alive func() bool, deliver func()) {
	sim.network = append(sim.network, envelope{to: to, deliver: func() {
		if alive() {
			deliver()
		}
	}})
}

// sendToEntry sends to the current incarnation of an entry.
func (sim *simulation) sendToEntry(e *simEntry, f func()) { sim.sendToIncarnation(e, e.ref, f) }

// sendToIncarnation sends to one incarnation of an entry. Like a link, it drops
// the message if the entry has restarted before the delivery.
func (sim *simulation) sendToIncarnation(e *simEntry, ref host.Ref, f func()) {
	sim.send(string(ref.Host), func() bool { return e.ref == ref }, f)
}

func (sim *simulation) sendToWorker(ref host.Ref, f func(*simWorker)) {
	i := slices.IndexFunc(sim.workers, func(wk *simWorker) bool { return wk.ref.Host == ref.Host })
	sim.send(string(ref.Host), func() bool { return sim.workers[i].ref == ref || sim.anyIncarnation }, func() { f(sim.workers[i]) })
}

// submit submits the job to the entry, with the digest of its body.
func (e *simEntry) submit(digest string) {
	round := uint64(contract.FirstRound)
	if r := e.run; r != nil {
		if r.digest != digest || !r.abandoned && !r.answered || r.answered && r.job.Err() == nil {
			return // refused, attached to the run, or answered again
		}
		round = r.epoch.Round + 1
	}
	e.startRun(digest, round)
}

// startRun starts a run of the job. In the first round it claims the record, in a
// later one it takes the record over.
func (e *simEntry) startRun(digest string, round uint64) {
	e.epochCount++
	r := &simRun{job: job.New(jobID, numTasks), digest: digest}
	r.epoch = contract.RecordEpoch{Round: round, Host: e.ref.Host, Incarnation: e.ref.Incarnation, Attempt: e.epochCount}
	e.run = r
	if round == contract.FirstRound {
		r.placeable = true
		e.sendRequest(&quorumRequest{run: r, placements: e.place(r)})
		return
	}
	e.sendRequest(&quorumRequest{run: r, prepare: true})
}

// place places each queued task on a random worker, in the incarnation that the
// entry knows.
func (e *simEntry) place(r *simRun) []contract.Placement {
	var placements []contract.Placement
	for i := range uint32(numTasks) {
		ref := e.knownWorkers[e.sim.choose(numWorkers)]
		if attempt, ok := r.job.Place(i, ref); ok {
			placements = append(placements, contract.Placement{Task: i, Attempt: attempt, Worker: ref.Host, Incarnation: ref.Incarnation})
		}
	}
	return placements
}

// sendRequest sends req to all holders.
func (e *simEntry) sendRequest(req *quorumRequest) {
	req.tally = record.NewTally(numEntries)
	req.sentStep = e.sim.step
	e.requests = append(e.requests, req)
	if e.sim.startBeforeQuorum && !req.prepare {
		e.sendStarts(req)
	}
	self := e.ref
	for _, h := range e.sim.entries {
		e.sim.sendToEntry(h, func() {
			reply := h.vote(req)
			from := h.ref.Host
			e.sim.sendToIncarnation(e, self, func() {
				if !req.decided {
					req.tally.Add(from, reply)
					e.decide(req, false)
				}
			})
		})
	}
}

// vote returns the reply of the entry's holder to a request.
func (e *simEntry) vote(req *quorumRequest) *contract.RecordReply {
	r := req.run
	if req.prepare {
		reply := e.holder.Prepare(simTime, &contract.RecordPrepare{Job: jobID, Digest: r.digest, Epoch: r.epoch, TTL: time.Minute})
		if e.sim.planForgotten {
			reply.Plan = nil
		}
		return reply
	}
	m := &contract.RecordWrite{Job: jobID, Digest: r.digest, Epoch: r.epoch, Plan: req.placements, TTL: time.Minute}
	reply := e.holder.Write(simTime, m)
	if e.sim.epochsIgnored && reply.Verdict == contract.RecordOwned {
		reply.Verdict = contract.RecordGranted
	}
	return reply
}

// decide acts on the verdict of a request once there is one. If timedOut is set,
// no more replies are awaited.
func (e *simEntry) decide(req *quorumRequest, timedOut bool) {
	verdict := req.tally.Verdict()
	if timedOut {
		verdict = req.tally.Final()
	}
	if verdict == record.Undecided || req.decided {
		return
	}
	req.decided = true
	r := req.run
	switch {
	case verdict == record.Granted && req.prepare:
		e.adopt(r, req.tally.Plan())
	case req.seal:
		e.sealed(req, verdict)
	case verdict == record.Granted:
		if !e.sim.startBeforeQuorum {
			e.sendStarts(req)
		}
	default:
		r.abandoned = true
		for _, p := range req.placements {
			r.job.NotStarted(p.Task, refOf(p), p.Attempt)
		}
		if verdict == record.Owned && e.run == r && e.sim.choose(2) == 0 {
			// The owner is suspected to be lost.
			e.startRun(r.digest, req.tally.Owner().Round+1)
		}
	}
}

// sendStarts sends the starts of a request's placements.
func (e *simEntry) sendStarts(req *quorumRequest) {
	for _, p := range req.placements {
		if !req.run.job.MarkSent(p.Task, refOf(p), p.Attempt) {
			req.run.job.NotStarted(p.Task, refOf(p), p.Attempt)
			continue
		}
		s := &contract.Start{
			Task: contract.TaskID{Job: jobID, Index: p.Task}, To: p.Incarnation, Attempt: p.Attempt,
			Payload: fmt.Appendf(nil, "%s%d", req.run.digest, p.Task),
		}
		owner := simOwner{e, e.ref}
		e.sim.sendToWorker(refOf(p), func(wk *simWorker) { e.sim.offer(wk, owner, s) })
	}
}

func refOf(p contract.Placement) host.Ref {
	return host.Ref{Host: p.Worker, Incarnation: p.Incarnation}
}

// adopt adopts the plan of the earlier owners, asks its workers to fence the tasks,
// and places the tasks that are not in it.
func (e *simEntry) adopt(r *simRun, plan []contract.Placement) {
	for _, p := range plan {
		r.job.Adopt(p.Task, refOf(p), p.Attempt)
	}
	r.placeable = true
	for _, ref := range r.job.ActiveWorkers() {
		e.fence(r, ref)
	}
	e.extend(r)
}

// fence asks a worker to fence the run's unfinished tasks that it may have received.
func (e *simEntry) fence(r *simRun, ref host.Ref) {
	ids, attempts := r.job.UnfinishedAt(ref)
	owner := simOwner{e, e.ref}
	e.sim.sendToWorker(ref, func(wk *simWorker) {
		for i, id := range ids {
			state := wk.gate.Fence(id, attempts[i])
			if e.sim.fencesForgotten && state == contract.TaskFenced {
				wk.gate = agent.NewGate(wk.ref.Incarnation, contract.Capacity{Slots: slotsPerWorker})
			}
			attempt := wk.gate.Attempt(id)
			wk.owners[id] = owner
			if res := wk.results[id]; res != nil {
				owner.notify(func() { e.result(ref, res) })
			}
			if state == contract.TaskFenced {
				owner.notify(func() { e.attemptNotStarted(id, ref, max(attempt, attempts[i])) })
				continue
			}
			owner.notify(func() { e.withActiveRun(func(r *simRun) { r.job.Started(id.Index, ref) }) })
		}
	})
}

// withActiveRun calls f with the entry's run, unless there is none or it is
// abandoned, and then answers the job if it is done.
func (e *simEntry) withActiveRun(f func(*simRun)) {
	if e.run != nil && !e.run.abandoned {
		f(e.run)
		e.answerIfDone(e.run)
	}
}

// attemptNotStarted handles a worker's report that it has fenced or refused an
// attempt.
func (e *simEntry) attemptNotStarted(id contract.TaskID, ref host.Ref, attempt uint32) {
	e.withActiveRun(func(r *simRun) {
		if e.sim.staleReportsAccepted {
			attempt = r.job.Attempt(id.Index)
		}
		if r.job.NotStarted(id.Index, ref, attempt) {
			e.extend(r)
		}
	})
}

// extend places the queued tasks and requests that they be added to the plan.
func (e *simEntry) extend(r *simRun) {
	if r.abandoned || !r.placeable {
		return
	}
	if placements := e.place(r); len(placements) > 0 {
		e.sendRequest(&quorumRequest{run: r, placements: placements})
	}
}

// result handles a task's result from a worker.
func (e *simEntry) result(ref host.Ref, res *contract.Result) {
	e.withActiveRun(func(r *simRun) {
		if r.job.Result(ref, res) == job.Requeued {
			e.extend(r)
		}
	})
}

// answerIfDone answers the job if it is done. An answer that says not-run is sealed
// first: a quorum confirms that the run still owns the job.
func (e *simEntry) answerIfDone(r *simRun) {
	if r.answered || r.sealing || !r.job.Done() {
		return
	}
	if r.job.Err() != nil && r.job.AnyNotRun() && !e.sim.sealSkipped {
		r.sealing = true
		e.sendRequest(&quorumRequest{run: r, seal: true, startsAtSeal: e.sim.startCounts})
		return
	}
	e.answer(r, e.sim.startCounts)
}

// sealed handles the verdict of a seal request.
func (e *simEntry) sealed(req *quorumRequest, verdict record.Verdict) {
	switch verdict {
	case record.Granted:
	case record.Owned:
		req.run.abandoned = true
		return
	default:
		req.run.job.MarkNotRunUnknown()
	}
	e.answer(req.run, req.startsAtSeal)
}

// answer marks the run as answered and checks the answer. A task whose start count
// in starts is not zero must not be answered as not-run.
func (e *simEntry) answer(r *simRun, starts [numTasks]int) {
	r.answered = true
	if r.job.Err() == nil {
		e.sim.completeAnswers++
	}
	for i, t := range r.job.Results() {
		switch {
		case r.job.Err() == nil && (t.Outcome != contract.OutcomeRan || e.sim.startCounts[i] == 0):
			e.sim.recordViolation("the answer is complete, but task %d did not run", i)
		case t.Outcome == contract.OutcomeRan && string(t.Body) != fmt.Sprint(r.digest, i):
			e.sim.recordViolation("task %d of body %s was answered with %s", i, r.digest, t.Body)
		case t.Outcome == contract.OutcomeNotRun && starts[i] > 0:
			e.sim.recordViolation("task %d was answered as not-run after it had started", i)
		}
	}
}

// notify sends a message to the owner.
func (o simOwner) notify(f func()) { o.sim.sendToIncarnation(o.simEntry, o.entryRef, f) }

// offer offers a start to a worker's gate and acts on the gate's verdict.
func (sim *simulation) offer(wk *simWorker, from simOwner, s *contract.Start) {
	if sim.anyIncarnation {
		s.To = wk.ref.Incarnation
	}
	verdict, _ := wk.gate.Offer(s)
	if verdict == agent.VerdictRun || verdict == agent.VerdictWait {
		delete(wk.results, s.Task)
	}
	if sim.gateOff && verdict == agent.VerdictDuplicate {
		verdict = agent.VerdictRun
	}
	if verdict == agent.VerdictRun || verdict == agent.VerdictWait {
		wk.owners[s.Task] = from
	}
	switch verdict {
	case agent.VerdictRun:
		sim.run(wk, s)
	case agent.VerdictRefuse:
		ref := wk.ref
		from.notify(func() { from.attemptNotStarted(s.Task, ref, s.Attempt) })
	}
}

// run runs a start that the gate admitted. It is a violation if more than one start
// of a task reaches an upstream.
func (sim *simulation) run(wk *simWorker, s *contract.Start) {
	wk.running = append(wk.running, s)
	if sim.choose(6) == 0 {
		wk.upstreamUnreachable[s.Task] = true
		return
	}
	i := s.Task.Index
	sim.startCounts[i]++
	if sim.startCounts[i] > 1 {
		sim.recordViolation("task %d started %d times", i, sim.startCounts[i])
	}
}

// finishRandomTask ends one of the worker's running tasks.
func (sim *simulation) finishRandomTask(wk *simWorker) {
	if len(wk.running) == 0 {
		return
	}
	n := sim.choose(len(wk.running))
	s := wk.running[n]
	wk.running = slices.Delete(wk.running, n, n+1)
	res := &contract.Result{Task: s.Task, Attempt: s.Attempt, Outcome: contract.OutcomeRan, Status: 200, Body: s.Payload}
	reached := !wk.upstreamUnreachable[s.Task]
	if !reached {
		delete(wk.upstreamUnreachable, s.Task)
		res = &contract.Result{Task: s.Task, Attempt: s.Attempt, Outcome: contract.OutcomeNotRun}
	}
	wk.results[s.Task] = res
	owner, ref := wk.owners[s.Task], wk.ref
	owner.notify(func() { owner.result(ref, res) })
	for _, next := range wk.gate.Finish(s.Task, reached) {
		sim.run(wk, next)
	}
}

// recordViolation records the first violation of the history.
func (sim *simulation) recordViolation(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("step %d: ", sim.step) + fmt.Sprintf(format, args...)
	}
}

// recover copies the other holders' records to a restarted holder. Quorum
// requests that were sent before the restart time out first, as they do in an
// entry, so that no vote of the earlier incarnation counts after the recovery.
func (sim *simulation) recover(e *simEntry) {
	if e.holder.Serving(simTime) {
		return
	}
	if !sim.staleVotes {
		for _, other := range sim.entries {
			for _, req := range slices.Clone(other.requests) {
				if req.sentStep <= e.startedStep {
					other.decide(req, true)
				}
			}
		}
	}
	rec := record.NewRecovery(numEntries)
	for _, other := range sim.entries {
		if other != e {
			from := other.ref.Host
			for next := rec.NextRequest(from); next != nil && rec.AddPage(from, other.holder.Page(simTime, next)); next = rec.NextRequest(from) {
			}
		}
	}
	rec.Finish(e.holder, simTime)
}

// advance executes one random step.
func (sim *simulation) advance() {
	sim.step++
	e := sim.entries[sim.choose(numEntries)]
	worker := sim.choose(numWorkers)
	switch sim.choose(24) {
	case 0, 1:
		body := "a"
		if sim.choose(8) == 0 {
			body = "b"
		}
		e.submit(body)
	case 2:
		if sim.choose(3) == 0 {
			sim.startEntry(e, false)
		}
	case 3:
		if sim.choose(4) == 0 {
			sim.startWorker(worker)
		}
	case 4:
		sim.recover(e)
	case 5: // a quorum request times out
		if len(e.requests) > 0 {
			e.decide(e.requests[sim.choose(len(e.requests))], true)
		}
	case 6: // a worker is considered lost, or its restart is detected
		ref := e.knownWorkers[worker]
		e.knownWorkers[worker] = sim.workers[worker].ref
		if ref != e.knownWorkers[worker] || sim.choose(4) == 0 {
			e.withActiveRun(func(r *simRun) { r.job.WorkerLost(ref) })
		}
	case 7: // a link is reconnected: the entry fences all unfinished tasks
		e.withActiveRun(func(r *simRun) { e.fence(r, e.knownWorkers[worker]) })
	case 8, 9, 10, 11:
		sim.finishRandomTask(sim.workers[worker])
	default:
		sim.deliverRandom()
	}
}

// deliverRandom delivers, duplicates or drops a random message of the network.
func (sim *simulation) deliverRandom() {
	if len(sim.network) == 0 {
		return
	}
	n := sim.choose(len(sim.network))
	m := sim.network[n]
	action := sim.choose(12) // 0 delivers and keeps the message, 1 drops it
	if action != 0 {
		sim.network = slices.Delete(sim.network, n, n+1)
	}
	if action != 1 {
		m.deliver()
	}
}

// runHistory simulates a history until it has the given number of steps or its
// first violation, and returns the simulation.
func runHistory(choose func(int) int, m mistakes, steps int) *simulation {
	sim := newSimulation(choose, m)
	for sim.step < steps && sim.violation == "" {
		sim.advance()
	}
	return sim
}
