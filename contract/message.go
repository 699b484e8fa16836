package contract

import "time"

// MessageKind numbers the messages between processes on the wire.
type MessageKind uint8

// The message kinds between any two processes, entries and agents, and for the
// tables. A number is never used again for another message.
const (
	KindHello     MessageKind = 1
	KindHeartbeat MessageKind = 2
	KindFault     MessageKind = 3

	KindAnnounce     MessageKind = 10
	KindStart        MessageKind = 11
	KindStartRefused MessageKind = 12
	KindResult       MessageKind = 13
	KindResultAck    MessageKind = 14
	KindFence        MessageKind = 15
	KindTaskStates   MessageKind = 16
	KindCancel       MessageKind = 17
	KindDrain        MessageKind = 18

	KindTablesPull  MessageKind = 30
	KindTablesDelta MessageKind = 31
)

// Message is one message between processes.
type Message interface {
	MessageKind() MessageKind
}

// Role is a role of a process.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
	RoleAgent   Role = "agent"
)

// Hello opens a link in each direction.
type Hello struct {
	Host          HostID
	Incarnation   Incarnation
	FailureDomain string
	Rack          string
	Roles         []Role
}

// Heartbeat keeps an idle link known to be alive.
type Heartbeat struct {
	// Tables is the version in force at the sender.
	Tables Version
}

// Announce is how an upstream joins: its agent sends it on each link.
type Announce struct {
	Pools    []string
	Capacity Capacity
	// HTTPAddr is where the agent takes single requests.
	HTTPAddr string
	Draining bool
	// Link numbers the agent's links to this entry, so that an announcement
	// on an earlier one is told apart.
	Link uint64
}

// Start asks an agent to start a task, addressed to one incarnation.
type Start struct {
	Task    TaskID
	To      Incarnation
	Attempt uint32
	Route   string
	Pool    string
	Method  string
	Path    string
	Payload []byte
	Demand  Demand
	// Lease is how long the start stands from its arrival: the task is never
	// started after it, and is stopped at its end.
	Lease time.Duration
	// Tables is the version that the start was made under.
	Tables Version
	// Keep asks the agent to keep the result after its acknowledgement, for a
	// resubmission of the job.
	Keep bool
	// Acks are results that the sender holds, as in ResultAck.
	Acks []TaskID
}

// StartRefused says that a start was refused: the task did not start, and is
// fenced at this incarnation.
type StartRefused struct {
	Task    TaskID
	Attempt uint32
	Reason  string
	// Tables is the version that the agent has heard of.
	Tables Version
}

// Result is the end of a started task. The agent keeps it until ResultAck.
type Result struct {
	Task    TaskID
	Attempt uint32
	Outcome Outcome
	Status  int
	Body    []byte
	Reason  string
	// Elapsed is how long the upstream worked.
	Elapsed time.Duration
}

// ResultAck says that the entry holds the results.
type ResultAck struct {
	Tasks []TaskID
}

// Fence asks that the tasks never start at the receiver unless they have
// already; the receiver answers with TaskStates. The sender becomes the owner
// of those that have.
type Fence struct {
	Tasks []TaskID
	// Attempts are the last attempts that may have been sent, by position in
	// Tasks: a later attempt is not fenced.
	Attempts []uint32
}

// TaskState is an agent's knowledge of one task.
type TaskState uint8

// The states of a task at an agent.
const (
	// TaskFenced means that the task has not started and never will here.
	TaskFenced TaskState = iota + 1
	// TaskRunning means that the task started and has not ended.
	TaskRunning
	// TaskDone means that the task ended; its result follows.
	TaskDone
)

// TaskReport pairs a task with its state.
type TaskReport struct {
	Task  TaskID
	State TaskState
	// Attempt is the last attempt that a fence covers.
	Attempt uint32
}

// TaskStates answers Fence.
type TaskStates struct {
	Reports []TaskReport
}

// Cancel drops the job's unstarted tasks and stops its started ones.
type Cancel struct {
	Job JobID
}

// Drain says that the sender takes no new work.
type Drain struct{}

// TablesPull asks for the rows changed after version Have.
type TablesPull struct {
	Have Version
}

// TablesDelta holds the rows changed and removed after version From. Where
// From is zero it holds all rows.
type TablesDelta struct {
	From   Version
	Tables Tables
}

// Fault answers a call that failed.
type Fault struct {
	Kind    string
	Message string
}

// MessageKind implements Message.
func (*Hello) MessageKind() MessageKind { return KindHello }

// MessageKind implements Message.
func (*Heartbeat) MessageKind() MessageKind { return KindHeartbeat }

// MessageKind implements Message.
func (*Announce) MessageKind() MessageKind { return KindAnnounce }

// MessageKind implements Message.
func (*Start) MessageKind() MessageKind { return KindStart }

// MessageKind implements Message.
func (*StartRefused) MessageKind() MessageKind { return KindStartRefused }

// MessageKind implements Message.
func (*Result) MessageKind() MessageKind { return KindResult }

// MessageKind implements Message.
func (*ResultAck) MessageKind() MessageKind { return KindResultAck }

// MessageKind implements Message.
func (*Fence) MessageKind() MessageKind { return KindFence }

// MessageKind implements Message.
func (*TaskStates) MessageKind() MessageKind { return KindTaskStates }

// MessageKind implements Message.
func (*Cancel) MessageKind() MessageKind { return KindCancel }

// MessageKind implements Message.
func (*Drain) MessageKind() MessageKind { return KindDrain }

// MessageKind implements Message.
func (*TablesPull) MessageKind() MessageKind { return KindTablesPull }

// MessageKind implements Message.
func (*TablesDelta) MessageKind() MessageKind { return KindTablesDelta }

// MessageKind implements Message.
func (*Fault) MessageKind() MessageKind { return KindFault }

// messageKinds is the number of message kinds that one byte can tell apart.
const messageKinds = 256

var messageMakers [messageKinds]func() Message

// register makes NewMessage know the messages' kinds. It panics when a kind is
// taken twice.
func register(makers ...func() Message) {
	for _, make := range makers {
		k := make().MessageKind()
		if messageMakers[k] != nil {
			panic("contract: a message kind is taken twice")
		}
		messageMakers[k] = make
	}
}

// NewMessage returns an empty message of the kind, or nil where the kind is
// not known.
func NewMessage(k MessageKind) Message {
	if f := messageMakers[k]; f != nil {
		return f()
	}
	return nil
}

func init() {
	register(
		func() Message { return new(Hello) },
		func() Message { return new(Heartbeat) },
		func() Message { return new(Announce) },
		func() Message { return new(Start) },
		func() Message { return new(StartRefused) },
		func() Message { return new(Result) },
		func() Message { return new(ResultAck) },
		func() Message { return new(Fence) },
		func() Message { return new(TaskStates) },
		func() Message { return new(Cancel) },
		func() Message { return new(Drain) },
		func() Message { return new(TablesPull) },
		func() Message { return new(TablesDelta) },
		func() Message { return new(Fault) },
	)
}
