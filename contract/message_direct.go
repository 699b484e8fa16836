package contract

import "time"

// The message kinds of direct starts, which entries make at agents while no control
// host leads.
const (
	KindQueueList   MessageKind = 129
	KindDirectOffer MessageKind = 130
	KindDirectStart MessageKind = 131
	KindDirectEnd   MessageKind = 132
	KindDirectStop  MessageKind = 133
	KindDirectBeat  MessageKind = 134
	KindStateEcho   MessageKind = 135
	KindDirectCrash MessageKind = 136
)

// The number of a direct run has the agent's last known term in the upper bits, as
// the runs of a leader have, and directRunBit set in the counter, which no leader
// reaches. It is therefore higher than the numbers of that term's leader, and lower
// than those of the next.
const (
	// RunCountBits is the width of the counter in a run number; the bits above it
	// hold the term.
	RunCountBits = 30
	directRunBit = 1 << (RunCountBits - 1)
	// DirectCountMask covers the part of the number that the entry chooses.
	DirectCountMask = directRunBit - 1
)

// DirectRunNumber returns the number of a direct run at an agent whose last known
// term is term. count is the part of the number that the entry chooses.
func DirectRunNumber(term, count uint64) uint64 {
	return term<<RunCountBits | directRunBit | count&DirectCountMask
}

// Direct reports whether the run was started by an entry and not by a leader.
func (r RunRef) Direct() bool { return r.Run&directRunBit != 0 }

// QueueList names the queues, without the operator's document. A control host sends
// it to entries after their first StateEcho on a link, and when the version changes.
type QueueList struct {
	Version uint64
	Queues  []Queue
}

// MessageKind returns KindQueueList.
func (*QueueList) MessageKind() MessageKind { return KindQueueList }

// DirectOffer describes the worker of an agent that knows no leader. The agent sends
// it at intervals, as its heartbeat, and on changes.
type DirectOffer struct {
	// Open is set if the agent starts runs for entries at present. An agent that
	// knows a leader again, or drains, sends its offers with Open unset until its
	// direct runs have ended.
	Open          bool
	Incarnation   Incarnation
	Worker        HostID
	Pool          string
	FailureDomain string
	Labels        []string
	Capacity      Capacity
	// Free is what no run uses that is or may be on the worker.
	Free Capacity
	// Taken is the highest DirectStart.Number of this link that Free accounts for.
	Taken uint64
	// Stamp is the agent's clock in nanoseconds.
	Stamp int64
}

// MessageKind returns KindDirectOffer.
func (*DirectOffer) MessageKind() MessageKind { return KindDirectOffer }

// DirectBeat is an entry's echo of the stamp of a DirectOffer. It shows the agent
// that the entry was alive after its clock read Stamp.
type DirectBeat struct {
	Stamp int64
}

// MessageKind returns KindDirectBeat.
func (*DirectBeat) MessageKind() MessageKind { return KindDirectBeat }

// DirectStart asks an agent to start a run. Start.Run holds only the part of the run
// number that the entry chooses; see DirectRunNumber.
type DirectStart struct {
	// Number is the sequence number of the start on its link, from 1.
	Number uint64
	Start  RunStart
	// Alone is set if the worker may run nothing but the run's job beside it.
	Alone bool
}

// MessageKind returns KindDirectStart.
func (*DirectStart) MessageKind() MessageKind { return KindDirectStart }

// DirectEnd reports the end of a direct run. Run is the number in the DirectStart.
type DirectEnd struct {
	RunRef
	// Kind is EndDone, EndFailed, EndStopped, EndNotStarted or EndLost. With EndLost the
	// run is certainly over.
	Kind RunEndKind
	// NoCapacity is set with EndNotStarted if the worker lacks free capacity, or may run
	// nothing else at present.
	NoCapacity bool
}

// MessageKind returns KindDirectEnd.
func (*DirectEnd) MessageKind() MessageKind { return KindDirectEnd }

// DirectCrash reports a crash of the agent's worker. The agent sends it before the ends of
// the runs on the worker, and the crashes that it has noticed lately when a link to an
// entry opens.
type DirectCrash struct {
	Crash WorkerCrash
}

// MessageKind returns KindDirectCrash.
func (*DirectCrash) MessageKind() MessageKind { return KindDirectCrash }

// DirectStop asks an agent to stop a direct run. The agent answers with DirectEnd.
type DirectStop struct {
	RunRef
}

// MessageKind returns KindDirectStop.
func (*DirectStop) MessageKind() MessageKind { return KindDirectStop }

// StateEcho is an entry's echo of HubState.Stamp. It shows the leader that the entry
// was alive after the leader's clock read Stamp.
type StateEcho struct {
	Stamp int64
}

// MessageKind returns KindStateEcho.
func (*StateEcho) MessageKind() MessageKind { return KindStateEcho }

// BoundSilence is how long after the last proof that an entry is alive the leader starts
// no more tasks of the entry's bound jobs (JobSubmit.Bound), and extends no authority of
// agents that may have runs of them. With the authority of agents, which ends 850 ms
// later by their clocks, every run of such a job is over before the caller sends it to
// another entry, 1,300 ms after it lost this one.
const BoundSilence = 400 * time.Millisecond

// BoundGrace is how long after that proof the leader drops bound jobs that have begun, if
// the link to the entry is up. A busy entry, or a link that loses packets, may be silent
// for longer than BoundSilence. The authority of agents must not run out before.
const BoundGrace = 800 * time.Millisecond

func init() {
	registerMessages(
		func() Message { return new(QueueList) },
		func() Message { return new(DirectOffer) },
		func() Message { return new(DirectStart) },
		func() Message { return new(DirectEnd) },
		func() Message { return new(DirectStop) },
		func() Message { return new(DirectBeat) },
		func() Message { return new(StateEcho) },
		func() Message { return new(DirectCrash) },
	)
}
