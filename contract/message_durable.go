package contract

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

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
	KindRelayOpen      MessageKind = 115
	KindRelayList      MessageKind = 116
)

// HubState is the state of a control host. The host sends it on each link when
// the link opens, on every change, and at intervals while it leads.
type HubState struct {
	Term uint64
	// Leads is set if the sender is the leader and holds the leader lease: it may
	// accept jobs and give orders to agents.
	Leads bool
	// Hubs holds the link addresses of all control hosts that the sender knows.
	Hubs []string
	// Leader is the link address of the leader; empty if unknown.
	Leader string
	// Evacuated lists the evacuated failure domains. Only a sender that leads sets it;
	// the list of another hub may be out of date.
	Evacuated []string
	// Stamp is the sender's clock in nanoseconds, which entries echo (StateEcho).
	Stamp int64
	// FirstOfHost is set if the sender leads and has told no earlier process of the
	// receiver's host so in Term.
	FirstOfHost bool
	// Member is the sender as a member of the replicated log, and GroupID identifies the
	// newest group in its log. They are set while the sender knows no leader, unless it
	// is of an earlier version.
	Member  LogMember
	GroupID uint64
	// ClientLimits are the limits on the clients of entries. Only a sender that leads sets
	// them.
	ClientLimits ClientLimits
}

// MessageKind returns KindHubState.
func (*HubState) MessageKind() MessageKind { return KindHubState }

// DecodeMsgpack implements msgpack.CustomDecoder. Hubs of an earlier version send fewer
// fields.
func (s *HubState) DecodeMsgpack(dec *msgpack.Decoder) error { return DecodeArray(dec, s) }

// JoinLog asks the leader to add a control host to the group.
type JoinLog struct {
	Member LogMember
}

// MessageKind returns KindJoinLog.
func (*JoinLog) MessageKind() MessageKind { return KindJoinLog }

// DiskQuery asks a control host for the identity of its disk, in order to form a
// group.
type DiskQuery struct{}

// MessageKind returns KindDiskQuery.
func (*DiskQuery) MessageKind() MessageKind { return KindDiskQuery }

// DiskReply is the reply to DiskQuery.
type DiskReply struct {
	Member LogMember
	// Empty is set if the disk has never belonged to a group.
	Empty bool
}

// MessageKind returns KindDiskReply.
func (*DiskReply) MessageKind() MessageKind { return KindDiskReply }

// JobSubmit asks the leader to accept a durable job. Host and Path select the
// queue; the part of Path after the queue's prefix is the job's ID.
type JobSubmit struct {
	Host  string
	Path  string
	Spec  string
	Steps []DurableStep
	// Transient is set if the job need not be stored. The reply is sent when the
	// job has ended. If the leader is lost, the job is submitted to the next leader,
	// which may run its tasks again.
	Transient bool
	// Age is how long ago the caller sent the job.
	Age time.Duration
	// Resubmitted is set if the job was already submitted to an earlier leader,
	// which may have started it.
	Resubmitted bool
	// Unsupported names the features that the job requires and that are not
	// implemented; empty means none.
	Unsupported string
	// Term is the term of the leader that the message is addressed to. Age was read
	// after that leader had announced itself.
	Term uint64
	// LastTerm is the term of the last leader that may have accepted the job before;
	// zero if none has. If it equals Term, the earlier message may still arrive.
	LastTerm uint64
	// Bound is set if an entry that has no leader might start the job directly. The
	// leader drops a bound job when the submitting entry is silent; see BoundSilence.
	Bound bool
}

// MessageKind returns KindJobSubmit.
func (*JobSubmit) MessageKind() MessageKind { return KindJobSubmit }

// JobAction is what a JobQuery asks for.
type JobAction uint8

// The actions of a JobQuery.
const (
	JobRead JobAction = iota + 1
	JobCancel
	// JobAbandon reports that the caller no longer waits for a transient job. The
	// leader cancels the job and sends no reply.
	JobAbandon
)

// JobQuery asks the leader to read, cancel or abandon a job, which Host and Path
// identify as in JobSubmit. A JobRead whose Path is only the prefix of a queue asks
// for the number of the queue's jobs that have not begun.
type JobQuery struct {
	Action JobAction
	Host   string
	Path   string
}

// MessageKind returns KindJobQuery.
func (*JobQuery) MessageKind() MessageKind { return KindJobQuery }

// JobVerdict says how a request about a job was answered.
type JobVerdict uint8

// The verdicts on a JobSubmit or JobQuery.
const (
	// VerdictAccepted means that a majority has stored the job.
	VerdictAccepted JobVerdict = iota + 1
	// VerdictOverload means that the job was refused and will not run; RetryAfter
	// says when to retry.
	VerdictOverload
	// VerdictUnready means that the request was refused because no tables are
	// known yet.
	VerdictUnready
	// VerdictUnsupported means that the job was refused because it requires a
	// feature that is not implemented, or resources that no worker has.
	VerdictUnsupported
	// VerdictNoQueue means that no queue matches the request.
	VerdictNoQueue
	// VerdictNoJob means that the job is unknown.
	VerdictNoJob
	// VerdictState means that State holds the state of the job.
	VerdictState
	// VerdictWaiting means that Waiting holds the number of the queue's jobs that
	// have not begun.
	VerdictWaiting
	// VerdictCancelled means that the job is cancelled or had already ended.
	VerdictCancelled
	// VerdictUnknown means that the leader gave up on the job; whether any task has
	// run is unknown.
	VerdictUnknown
	// VerdictNotLeader means that the receiver does not lead and did nothing; ask
	// another control host.
	VerdictNotLeader
)

// JobReply is the reply to JobSubmit and JobQuery.
type JobReply struct {
	Verdict JobVerdict
	State   DurableState
	// Waiting is the number of jobs of the queue that have not begun.
	Waiting    int
	RetryAfter time.Duration
	// Reason explains in words why a job was refused.
	Reason string
	// TablesVersion is the version of the queue tables that the answer is based on;
	// zero if it is based on none.
	TablesVersion uint64
}

// MessageKind returns KindJobReply.
func (*JobReply) MessageKind() MessageKind { return KindJobReply }

// WorkerSession identifies a session: a period in which one instance of a worker
// held its lease without interruption, as seen by its agent. When a session is
// over, all of its runs have ended. The leader ignores run ends that it receives
// after the session is over.
type WorkerSession uint64

// RunRef identifies one run of a task.
type RunRef struct {
	Job  DurableJobID
	Task uint32
	Run  uint64
}

// RunEnded reports the end of a run. Seq orders the run ends of one worker; it is
// zero for a run that never reached the worker.
type RunEnded struct {
	RunRef
	Seq  uint64
	Kind RunEndKind
	// Unhealthy is set if the worker refused the start because it is unhealthy.
	Unhealthy bool
	// Unanswered is set if the worker gave no answer to the start call.
	Unanswered bool
	// Stale is set if the worker refused the start because a run of the task with a
	// higher number has ended there. It would refuse the next start too.
	Stale bool
}

// PlacedRun is a run that is, or may be, on a worker, with the demand of its task.
type PlacedRun struct {
	RunRef
	Demand Demand
	// Direct is set if an entry started the run while there was no leader. The leader
	// neither stops the run nor starts its task until the run has ended.
	Direct bool
	// Bound is set if the run's job is bound to its entry; see JobSubmit.
	Bound bool
}

// WorkerReport is the full state of a worker, as known to its agent. The agent
// sends it as the first message to a new leader, and whenever the session or the
// worker's announcement changes.
type WorkerReport struct {
	// Attach marks the first report on a link to a leader, or of a session. If a run
	// that the leader has ordered is not in the report, its order did not arrive and
	// the run never started.
	Attach bool
	// Term is the term of the leader that the report is addressed to.
	Term    uint64
	Host    HostID
	Session WorkerSession
	Worker  WorkerAnnouncement
	// NoWorker is set if there is no worker at present, and so no run.
	NoWorker bool
	// Unhealthy is set if the worker's own health check fails.
	Unhealthy bool
	Running   []PlacedRun
	Ends      []RunEnded
	// Stamp is the agent's clock, as in AgentBeat.
	Stamp int64
	// AttachID identifies the agent's present attachment. The agent takes a higher one
	// each time it changes to another link. Two links to one leader can be open at the
	// same time, and a message of the earlier attachment may arrive last.
	AttachID int64
	// Recent holds, in a report with Attach set, the runs of any session that have
	// ended lately. The end of a run counts if its kind is EndDone or EndFailed: a
	// leader has acknowledged it. A run of another kind has no result, but it may have
	// run.
	Recent []RunEnded
	// RecentSince is the age of the record behind Recent: each run that was on the
	// worker within this time before the report is in Recent, Ends or Running. It is
	// zero if there is no record.
	RecentSince time.Duration
	// Crashes holds, in a report with Attach set, the crashes of instances of the
	// worker that the agent has noticed lately, oldest first.
	Crashes []WorkerCrash
}

// MessageKind returns KindWorkerReport.
func (*WorkerReport) MessageKind() MessageKind { return KindWorkerReport }

// WorkerEnds reports runs that ended.
type WorkerEnds struct {
	Session WorkerSession
	Ends    []RunEnded
}

// MessageKind returns KindWorkerEnds.
func (*WorkerEnds) MessageKind() MessageKind { return KindWorkerEnds }

// AgentBeat is an agent's heartbeat. The leader answers it with AgentAuthority, which
// renews the agent's authority to start runs. Stamp is the agent's clock when it
// sent the message, in nanoseconds; the answer contains it.
type AgentBeat struct {
	Session WorkerSession
	Stamp   int64
}

// MessageKind returns KindAgentBeat.
func (*AgentBeat) MessageKind() MessageKind { return KindAgentBeat }

// AgentAuthority confirms that the sender was the leader of Term at some time
// after the agent's clock read Stamp. It allows the agent to start runs until a
// fixed time after Stamp.
type AgentAuthority struct {
	Term  uint64
	Stamp int64
}

// MessageKind returns KindAgentAuthority.
func (*AgentAuthority) MessageKind() MessageKind { return KindAgentAuthority }

// RunStart is an order to start a run of a task.
type RunStart struct {
	RunRef
	Demand Demand
	// Name is the name by which the worker knows the task.
	Name string
	Spec string
	// Bound is as in PlacedRun.
	Bound bool
	// Queue is the queue of the run's job.
	Queue string
}

// Placed returns the run as reports list it.
func (s *RunStart) Placed() PlacedRun {
	return PlacedRun{RunRef: s.RunRef, Demand: s.Demand, Bound: s.Bound}
}

// WorkerOrders holds a leader's orders to one agent.
type WorkerOrders struct {
	// Number is the sequence number of the message on its link.
	Number  uint64
	Term    uint64
	Session WorkerSession
	Starts  []RunStart
	Stops   []RunRef
	// AckedEndSeq acknowledges all run ends up to this Seq: a majority has stored
	// them.
	AckedEndSeq uint64
	// EndSession ends the session: the agent lets the worker's lease expire and
	// starts another session.
	EndSession bool
	// AttachID is the attachment that the orders rest on. An agent ignores orders of
	// another one: its last report to the leader did not contain their runs.
	AttachID int64
}

// KnownWorker tells an agent which worker the earlier agent process on its host
// managed, so that a restarted agent need not wait for the worker's next
// announcement.
type KnownWorker struct {
	Worker WorkerAnnouncement
}

// MessageKind returns KindKnownWorker.
func (*KnownWorker) MessageKind() MessageKind { return KindKnownWorker }

// OrdersTaken acknowledges WorkerOrders. The leader regards an agent that does not
// acknowledge them as unreachable.
type OrdersTaken struct {
	Number   uint64
	AttachID int64
}

// MessageKind returns KindOrdersTaken.
func (*OrdersTaken) MessageKind() MessageKind { return KindOrdersTaken }

// MessageKind returns KindWorkerOrders.
func (*WorkerOrders) MessageKind() MessageKind { return KindWorkerOrders }

func init() {
	registerMessages(
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
