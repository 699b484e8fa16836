package contract

import "time"

// The message kinds of durable jobs.
const (
	KindHubState       MessageKind = 101
	KindJoinLog        MessageKind = 102
	KindJobSubmit      MessageKind = 103
	KindJobQuery       MessageKind = 104
	KindJobReply       MessageKind = 105
	KindWorkerReport   MessageKind = 106
	KindWorkerEnds     MessageKind = 107
	KindAgentBeat      MessageKind = 108
	KindAgentAuthority MessageKind = 109
	KindWorkerOrders   MessageKind = 110
	KindDiskQuery      MessageKind = 111
	KindDiskReply      MessageKind = 112
	KindKnownWorker    MessageKind = 113
	KindOrdersTaken    MessageKind = 114
)

// HubState is what a control host says of itself on each link: at once, on
// each change, and at intervals while it leads.
type HubState struct {
	Term uint64
	// Leads says that the sender may take jobs and give orders.
	Leads bool
	// Hubs are the link addresses of all control hosts that it knows.
	Hubs []string
	// Leader is the link address of the leader, where it is known.
	Leader string
}

// MessageKind returns KindHubState.
func (*HubState) MessageKind() MessageKind { return KindHubState }

// JoinLog asks the leader to let a control host into the group.
type JoinLog struct {
	Member LogMember
}

// MessageKind returns KindJoinLog.
func (*JoinLog) MessageKind() MessageKind { return KindJoinLog }

// DiskQuery asks a control host which disk it has, so that a group can form.
type DiskQuery struct{}

// MessageKind returns KindDiskQuery.
func (*DiskQuery) MessageKind() MessageKind { return KindDiskQuery }

// DiskReply answers a DiskQuery.
type DiskReply struct {
	Member LogMember
	// Empty says that the disk has never belonged to a group.
	Empty bool
}

// MessageKind returns KindDiskReply.
func (*DiskReply) MessageKind() MessageKind { return KindDiskReply }

// JobSubmit asks the leader to accept a durable job. Host and Path select the
// queue; what follows the queue's prefix is the job's ID.
type JobSubmit struct {
	Host  string
	Path  string
	Spec  string
	Steps []DurableStep
	// Transient says that the job need not be stored: the reply comes when it
	// has ended, and after a loss of the leader it may start anew.
	Transient bool
	// Age is how long ago the caller sent the job.
	Age time.Duration
	// Again says that an earlier leader was asked before.
	Again bool
	// Unsupported names what the job asks for that is not built; empty means
	// nothing.
	Unsupported string
}

// MessageKind returns KindJobSubmit.
func (*JobSubmit) MessageKind() MessageKind { return KindJobSubmit }

// JobAction is what a JobQuery asks for.
type JobAction uint8

// The actions of a JobQuery.
const (
	JobRead JobAction = iota + 1
	JobCancel
	// JobAbandon says that nobody waits for a transient job any more.
	JobAbandon
)

// JobQuery asks for a job's state, for a queue's count of jobs that have not
// begun (the path is the queue's prefix), or for a job to be cancelled.
type JobQuery struct {
	Action JobAction
	Host   string
	Path   string
}

// MessageKind returns KindJobQuery.
func (*JobQuery) MessageKind() MessageKind { return KindJobQuery }

// JobVerdict is the kind of a JobReply.
type JobVerdict uint8

// The verdicts on a request of a caller.
const (
	// VerdictAccepted: the job is stored by a majority.
	VerdictAccepted JobVerdict = iota + 1
	// VerdictOverload: refused, it will not run; RetryAfter says when to come
	// back.
	VerdictOverload
	// VerdictUnready: refused, since no tables are known yet.
	VerdictUnready
	// VerdictUnsupported: refused, since the job asks for what is not built or
	// what no worker has.
	VerdictUnsupported
	// VerdictNoQueue: no queue matches.
	VerdictNoQueue
	// VerdictNoJob: the job is not known.
	VerdictNoJob
	// VerdictState: State holds.
	VerdictState
	// VerdictWaiting: Waiting holds.
	VerdictWaiting
	// VerdictCancelled: the job is cancelled, or had ended.
	VerdictCancelled
	// VerdictUnknown: given up; whether something has run is not known.
	VerdictUnknown
	// VerdictNotLeader: ask another control host; nothing was done.
	VerdictNotLeader
)

// JobReply answers JobSubmit and JobQuery.
type JobReply struct {
	Verdict    JobVerdict
	State      DurableState
	Waiting    int
	RetryAfter time.Duration
	// Reason says in words why a job was refused.
	Reason string
}

// MessageKind returns KindJobReply.
func (*JobReply) MessageKind() MessageKind { return KindJobReply }

// WorkerSession is one unbroken lease of one life of a worker, as its agent
// sees it. When a session is over, all that ran in it has ended, and no end
// that was not yet noted counts.
type WorkerSession uint64

// RunRef names a run of a task.
type RunRef struct {
	Job  DurableJobID
	Task uint32
	Run  uint64
}

// RunEnded is the end of a run. Seq orders the ends of one worker; it is zero
// for a run that never was on the worker.
type RunEnded struct {
	RunRef
	Seq uint64
	How RunEnd
	// Unhealthy says that the worker itself refused the start.
	Unhealthy bool
	// Unanswered says that the order to start got no answer from the worker.
	Unanswered bool
}

// HeldRun is a run that is, or may be, on a worker, with what it takes there.
type HeldRun struct {
	RunRef
	Need Demand
}

// WorkerReport is all that an agent knows of its worker: it comes first on a
// link to a leader, and whenever the session or the worker's own report
// changes.
type WorkerReport struct {
	// Attach marks the first report on a link: an order that is not in it
	// never arrived.
	Attach bool
	// Term is that of the leader that the report is for.
	Term    uint64
	Host    HostID
	Session WorkerSession
	Worker  WorkerAnnouncement
	// Gone says that there is no worker at present: nothing runs.
	Gone bool
	// Unhealthy says that the worker's own health check fails.
	Unhealthy bool
	Running   []HeldRun
	Ends      []RunEnded
	// Stamp is as in AgentBeat.
	Stamp int64
}

// MessageKind returns KindWorkerReport.
func (*WorkerReport) MessageKind() MessageKind { return KindWorkerReport }

// WorkerEnds tells of runs that ended.
type WorkerEnds struct {
	Session WorkerSession
	Ends    []RunEnded
}

// MessageKind returns KindWorkerEnds.
func (*WorkerEnds) MessageKind() MessageKind { return KindWorkerEnds }

// AgentBeat keeps an agent's authority alive. Stamp is the agent's clock; the
// leader's AgentAuthority carries it back.
type AgentBeat struct {
	Session WorkerSession
	Stamp   int64
}

// MessageKind returns KindAgentBeat.
func (*AgentBeat) MessageKind() MessageKind { return KindAgentBeat }

// AgentAuthority says that the sender led under Term at some time after the
// agent sent Stamp.
type AgentAuthority struct {
	Term  uint64
	Stamp int64
}

// MessageKind returns KindAgentAuthority.
func (*AgentAuthority) MessageKind() MessageKind { return KindAgentAuthority }

// RunStart orders a task to be started.
type RunStart struct {
	HeldRun
	// Name is the task's name towards the worker.
	Name string
	Spec string
}

// WorkerOrders are a leader's orders to one agent.
type WorkerOrders struct {
	// Number counts the orders on one link.
	Number  uint64
	Term    uint64
	Session WorkerSession
	Starts  []RunStart
	Stops   []RunRef
	// Noted is the Seq up to which ends are stored by a majority.
	Noted uint64
	// Over says that the session is over: the agent lets the lease run out
	// and begins another.
	Over bool
}

// KnownWorker tells an agent that has just started which worker it had: it
// need not wait for the worker's next heartbeat.
type KnownWorker struct {
	Worker WorkerAnnouncement
}

// MessageKind returns KindKnownWorker.
func (*KnownWorker) MessageKind() MessageKind { return KindKnownWorker }

// OrdersTaken acknowledges orders: an agent that does not is out of reach.
type OrdersTaken struct {
	Number uint64
}

// MessageKind returns KindOrdersTaken.
func (*OrdersTaken) MessageKind() MessageKind { return KindOrdersTaken }

// MessageKind returns KindWorkerOrders.
func (*WorkerOrders) MessageKind() MessageKind { return KindWorkerOrders }

func init() {
	register(
		func() Message { return new(HubState) },
		func() Message { return new(JoinLog) },
		func() Message { return new(DiskQuery) },
		func() Message { return new(DiskReply) },
		func() Message { return new(JobSubmit) },
		func() Message { return new(JobQuery) },
		func() Message { return new(JobReply) },
		func() Message { return new(WorkerReport) },
		func() Message { return new(WorkerEnds) },
		func() Message { return new(AgentBeat) },
		func() Message { return new(AgentAuthority) },
		func() Message { return new(WorkerOrders) },
		func() Message { return new(KnownWorker) },
		func() Message { return new(OrdersTaken) },
	)
}
