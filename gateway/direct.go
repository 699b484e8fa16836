package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/directstart"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/telemetry"
	"github.com/carawaylanding/carawaylanding/uplink"
)

// directTick is how often the dispatcher of direct starts looks at its timeouts.
const directTick = 50 * time.Millisecond

// directStarts runs jobs by direct starts at agents while there is no leader. It
// executes the decisions of directstart.Dispatcher.
type directStarts struct {
	server link.Server
	log    logr.Logger
	// evacuated reports whether no run may start in a failure domain.
	evacuated func(domain string) bool

	mu         sync.Mutex // guards the fields below
	dispatcher *directstart.Dispatcher
	links      map[directstart.LinkID]*link.Link
	ids        map[*link.Link]directstart.LinkID
	lastID     directstart.LinkID
	// waiters holds the callers of each job that is not answered.
	waiters map[contract.DurableJobID][]chan directstart.Answer
	queues  contract.QueueList
	// seenVersion is the highest version of the queue tables that this entry has seen
	// in an answer or a list.
	seenVersion uint64
}

func newDirectStarts(cfg uplink.Config, evacuated func(string) bool) *directStarts {
	d := &directStarts{
		log: cfg.Log, evacuated: evacuated, dispatcher: directstart.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		links: map[directstart.LinkID]*link.Link{}, ids: map[*link.Link]directstart.LinkID{},
		waiters: map[contract.DurableJobID][]chan directstart.Answer{},
	}
	d.server = link.Server{Local: cfg.Hello, Config: uplink.DirectLinkConfig, Handler: d}
	return d
}

// run makes time pass for the dispatcher until ctx is done.
func (d *directStarts) run(ctx context.Context) error {
	tick := time.NewTicker(directTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			d.handle(directstart.Tick{})
		}
	}
}

// handle passes an event to the dispatcher and executes its actions.
func (d *directStarts) handle(e directstart.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handleLocked(e)
}

// handleLocked is handle for callers that hold d.mu.
func (d *directStarts) handleLocked(e directstart.Event) {
	for _, a := range d.dispatcher.Handle(boottime.Now(), e) {
		switch a := a.(type) {
		case directstart.Start:
			d.start(a)
		case directstart.Stop:
			if l := d.links[a.Link]; l != nil {
				// If the link is down, the agent stops the run by itself.
				_ = l.Send(&contract.DirectStop{RunRef: a.Ref})
			}
		case directstart.Answer:
			d.answer(a)
		}
	}
}

// start sends a start. A start that was not sent counts as refused by the agent. The
// caller holds d.mu.
func (d *directStarts) start(a directstart.Start) {
	telemetry.DirectStarts.WithLabelValues("entry").Inc()
	l := d.links[a.Link]
	if l != nil && l.Send(&a.DirectStart) == nil {
		return
	}
	d.handleLocked(directstart.End{Link: a.Link, DirectEnd: contract.DirectEnd{RunRef: a.Start.RunRef, Kind: contract.EndNotStarted}})
}

// answer passes the answer to the job's callers. The caller holds d.mu.
func (d *directStarts) answer(a directstart.Answer) {
	telemetry.DirectJobs.WithLabelValues(a.Result.String()).Inc()
	d.log.Info("direct job answered", "job", a.ID, "result", a.Result.String(), "tasks", a.Tasks, "reason", a.Reason, "ms", a.Wait.Milliseconds())
	for _, ch := range d.waiters[a.ID] {
		ch <- a
	}
	delete(d.waiters, a.ID)
}

// LinkUp records the link of an agent.
func (d *directStarts) LinkUp(l *link.Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	d.links[d.lastID], d.ids[l] = l, d.lastID
	d.log.Info("agent connected", "agent", l.Remote().Host)
}

// LinkDown removes the link of an agent.
func (d *directStarts) LinkDown(l *link.Link, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.ids[l]
	delete(d.links, id)
	delete(d.ids, l)
	d.log.Info("agent disconnected", "agent", l.Remote().Host, "err", err)
	d.handleLocked(directstart.LinkLost{Link: id})
}

// Receive handles a message from an agent. The echo of an offer's stamp is sent before
// any start that follows from it.
func (d *directStarts) Receive(l *link.Link, _ uint64, m contract.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch m := m.(type) {
	case *contract.DirectOffer:
		telemetry.DirectOffers.Inc()
		_ = l.Send(&contract.DirectBeat{Stamp: m.Stamp})
		// An agent that was cut off earlier may not know of the evacuation.
		m.Open = m.Open && !d.evacuated(m.FailureDomain)
		d.handleLocked(directstart.Offer{Link: d.ids[l], DirectOffer: *m})
	case *contract.DirectEnd:
		telemetry.DirectEnds.WithLabelValues(m.Kind.String()).Inc()
		d.handleLocked(directstart.End{Link: d.ids[l], DirectEnd: *m})
	case *contract.DirectCrash:
		d.log.Info("worker crash learned", "agent", l.Remote().Host, "instance", m.Crash.Instance.ID, "alone", m.Crash.Alone(), "runs", len(m.Crash.Runs), "age_ms", m.Crash.Age.Milliseconds())
		d.handleLocked(directstart.Crash{WorkerCrash: m.Crash})
	}
}

// setQueues keeps the newest list of the queues. Jobs that wait for a start follow it.
func (d *directStarts) setQueues(q *contract.QueueList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if q.Version > d.queues.Version {
		change := contract.NewQueueChange(d.queues.Queues, q.Queues)
		d.queues = *q
		d.handleLocked(directstart.QueuesChanged{Change: change})
	}
	d.seenVersion = max(d.seenVersion, q.Version)
}

// sawVersion records the version of the tables that an answer is based on.
func (d *directStarts) sawVersion(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seenVersion = max(d.seenVersion, version)
}

// bindable reports whether a job might be started directly.
func bindable(m *contract.JobSubmit) bool {
	return m.Transient && m.Unsupported == "" && directstart.Supports(m.Steps)
}

// job returns the job of a submission if it can be started directly now: its queue is
// known from a list that is not older than any version seen, and an agent of its pool
// offers direct starts.
func (d *directStarts) job(m *contract.JobSubmit) (contract.DurableJob, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queues.Version == 0 || d.queues.Version < d.seenVersion {
		return contract.DurableJob{}, false
	}
	q, suffix := contract.MatchQueue(d.queues.Queues, m.Host, m.Path)
	if q == nil || q.NeedsAdvice || !d.dispatcher.Offers(boottime.Now(), q.Pool) {
		return contract.DurableJob{}, false
	}
	return contract.DurableJob{
		ID: contract.JobIDIn(suffix), Queue: q.Name, Pool: q.Pool, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		Slack: q.Slack, Target: q.Target, Spec: m.Spec, Steps: m.Steps,
	}, true
}

// offersAny reports whether any agent offers direct starts.
func (d *directStarts) offersAny() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatcher.OffersAny(boottime.Now())
}

// ask runs the job and returns its answer. When ctx is done first, and no other caller
// waits for the job, its runs are stopped.
func (d *directStarts) ask(ctx context.Context, j contract.DurableJob, arrivedAt time.Duration) Answer {
	ch := make(chan directstart.Answer, 1)
	d.mu.Lock()
	d.waiters[j.ID] = append(d.waiters[j.ID], ch)
	d.handleLocked(directstart.Submit{Job: j, ArrivedAt: arrivedAt})
	d.mu.Unlock()
	select {
	case a := <-ch:
		return directAnswer(a)
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case a := <-ch:
		return directAnswer(a)
	default:
	}
	begun := d.dispatcher.MayHaveRun(j.ID)
	d.waiters[j.ID] = slices.DeleteFunc(d.waiters[j.ID], func(o chan directstart.Answer) bool { return o == ch })
	if len(d.waiters[j.ID]) == 0 {
		delete(d.waiters, j.ID)
		d.handleLocked(directstart.Abandon{ID: j.ID})
	}
	return Answer{Direct: true, PossiblyAccepted: begun}
}

// directAnswer converts the answer to that of a leader.
func directAnswer(a directstart.Answer) Answer {
	out := Answer{Direct: true, Answered: true}
	switch a.Result {
	case directstart.Completed:
		out.Verdict, out.State = contract.VerdictState, contract.DurableCompleted
	case directstart.Failed:
		out.Verdict, out.State = contract.VerdictState, contract.DurableFailed
	case directstart.Refused:
		out.Verdict, out.RetryAfter, out.Reason = contract.VerdictOverload, a.RetryAfter, a.Reason
	default:
		out.Verdict, out.PossiblyAccepted = contract.VerdictUnknown, true
	}
	return out
}

// ServeAgent runs the link of an agent that dialled the relay address without asking
// for a relay, until it is down. hello is the agent's first message.
func (g *Gateway) ServeAgent(ctx context.Context, conn net.Conn, hello *contract.Hello) {
	g.direct.server.ServeAccepted(ctx, conn, hello)
}
