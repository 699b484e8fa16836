package contract

import "time"

// MessageKind identifies the type of a message on the wire.
type MessageKind uint8

// The message kinds between any two processes, between entries and agents, and
// for the tables. The number of a removed kind is never reused.
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
	// MessageKind returns the kind that identifies the message's type on the
	// wire.
	MessageKind() MessageKind
}

// Role is a role that a process can have; a process may have several.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
	RoleAgent   Role = "agent"
)

// Hello is the first message in each direction of a link.
type Hello struct {
	Host          HostID
	Incarnation   Incarnation
	FailureDomain string
	Rack          string
	Roles         []Role
	// RelayAddr is the address at which the sender relays links to control hosts;
	// empty if it does not.
	RelayAddr string
}

// Heartbeat shows that its sender is alive. It is sent on an idle link, and by an
// agent in answer to RowVersions.
type Heartbeat struct {
	// TablesVersion is the tables version in force at the sender.
	TablesVersion Version
}

// Announce registers an upstream with an entry. The upstream's agent sends it on
// each link.
type Announce struct {
	Pools    []string
	Capacity Capacity
	// HTTPAddr is the address at which the agent accepts single requests.
	HTTPAddr string
	Draining bool
	// LinkNumber is the sequence number of the link among the agent's links to this
	// entry. The entry ignores an announcement of an earlier link than the latest
	// one that it knows.
	LinkNumber uint64
}

// Start asks an agent to start a task. It is valid for one incarnation only.
type Start struct {
	Task TaskID
	// To is the incarnation of the agent that may start the task.
	To      Incarnation
	Attempt uint32
	Route   string
	Pool    string
	Method  string
	Path    string
	Payload []byte
	Demand  Demand
	// Lease is the duration of the lease, counted from the arrival of the start.
	// A task is never started after its lease has expired. A task that is still
	// running at that time is stopped.
	Lease time.Duration
	// TablesVersion is the tables version at the sender when it placed the task.
	TablesVersion Version
	// KeepResult asks the agent to retain the result after its acknowledgement,
	// for a possible resubmission of the job.
	KeepResult bool
	// Acks acknowledges results, as ResultAck does.
	Acks []TaskID
}

// StartRefused reports that a start was refused: the task did not start, and is
// fenced at this incarnation of the agent.
type StartRefused struct {
	Task    TaskID
	Attempt uint32
	Reason  string
	// TablesVersion is the highest tables version that the agent knows of.
	TablesVersion Version
}

// Result reports the end of a started task. The agent retains it until it is
// acknowledged by a ResultAck.
type Result struct {
	Task    TaskID
	Attempt uint32
	Outcome Outcome
	Status  int
	Body    []byte
	Reason  string
	// Elapsed is how long the upstream worked on the task.
	Elapsed time.Duration
}

// ResultAck acknowledges the results of tasks.
type ResultAck struct {
	Tasks []TaskID
}

// Fence tells an agent never to start those of the tasks that it has not started
// yet. The agent replies with TaskStates. The sender becomes the owner of the tasks
// that have started.
type Fence struct {
	Tasks []TaskID
	// Attempts holds, at the same index as in Tasks, the last attempt that may
	// have been sent. Later attempts are not fenced.
	Attempts []uint32
}

// TaskState is the state of one task at an agent.
type TaskState uint8

// The states of a task at an agent.
const (
	// TaskFenced means that the task has not started at the agent and never
	// will.
	TaskFenced TaskState = iota + 1
	// TaskRunning means that the task started and has not ended.
	TaskRunning
	// TaskDone means that the task ended; its Result follows.
	TaskDone
)

// TaskReport is the state of one task.
type TaskReport struct {
	Task  TaskID
	State TaskState
	// Attempt is the highest attempt at the task that the agent has received or
	// fenced.
	Attempt uint32
}

// TaskStates reports the states of tasks. It is the reply to Fence. An agent also
// sends it for tasks that it has fenced on a Cancel, and to the previous owner of a
// task that another entry has fenced.
type TaskStates struct {
	Reports []TaskReport
}

// Cancel tells an agent to fence the job's tasks that have not started and to stop
// the running ones, as far as the sender owns them.
type Cancel struct {
	Job JobID
}

// Drain reports that the sender accepts no new work.
type Drain struct{}

// TablesPull asks for the rows that changed after version Have.
type TablesPull struct {
	Have Version
}

// TablesDelta holds the rows that were changed or removed after version From, and
// the group if it changed after From. If From is zero it holds the whole tables.
type TablesDelta struct {
	From   Version
	Tables Tables
}

// Fault is the reply to a call that failed. Kind is the name of the ErrorKind; it is
// empty for an error without a kind.
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

// numMessageKinds is the number of possible values of a MessageKind.
const numMessageKinds = 256

// messageFactories holds, by kind, the function that returns an empty message.
var messageFactories [numMessageKinds]func() Message

// registerMessages registers the functions that NewMessage calls. It panics if a
// kind is already registered.
func registerMessages(factories ...func() Message) {
	for _, make := range factories {
		k := make().MessageKind()
		if messageFactories[k] != nil {
			panic("contract: a message kind is registered twice")
		}
		messageFactories[k] = make
	}
}

// NewMessage returns an empty message of the kind, or nil if the kind is
// unknown.
func NewMessage(k MessageKind) Message {
	if newMessage := messageFactories[k]; newMessage != nil {
		return newMessage()
	}
	return nil
}

func init() {
	registerMessages(
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
