package contract

// The message kinds of the replicated log.
const (
	KindLogMessage MessageKind = 100
)

// LogMember is a control host with one disk. The same host with another disk is a
// different member.
type LogMember struct {
	// Addr is the host's link address, as IP:port.
	Addr string
	Disk DiskID
}

// LogGroup is the set of control hosts that replicate the log.
type LogGroup struct {
	// Voters elect the leader and commit entries. Learners receive the log and do
	// not count towards a quorum.
	Voters   []LogMember
	Learners []LogMember
}

// LogEntry is one entry of the replicated log.
type LogEntry struct {
	Index uint64
	Term  uint64
	// Group is the new group, set only on an entry that changes the group.
	Group *LogGroup
	// Data is the proposed command. It is empty on an entry that changes the group,
	// and on the first entry of a leader's term.
	Data []byte
}

// LogMessageType is the type of a LogMessage.
type LogMessageType uint8

// The types of LogMessage.
const (
	LogPreVote LogMessageType = iota + 1
	LogPreVoteReply
	LogVote
	LogVoteReply
	LogAppend
	LogAppendReply
	LogSnapshot
)

// LogMessage is a message between the members of the replicated log.
type LogMessage struct {
	Type LogMessageType
	From LogMember
	To   LogMember
	Term uint64
	// Index and LogTerm identify the entry before Entries in a LogAppend, the
	// sender's last entry in a vote request, or the last entry that a snapshot
	// covers. In a LogAppendReply, Index is the last entry that matches the leader's
	// log and is synced.
	Index   uint64
	LogTerm uint64
	// Commit is the index of the last entry that the leader knows to be committed.
	Commit  uint64
	Entries []LogEntry
	// Refused is set in a reply that refuses the request. If the request was a
	// LogAppend, Hint is then the highest index at which the logs may match.
	Refused bool
	Hint    uint64
	// SentAt is the leader's clock when it sent a LogAppend or LogSnapshot, in
	// nanoseconds. The reply returns it.
	SentAt int64
	// Group and Data are the contents of a snapshot.
	Group LogGroup
	Data  []byte
}

// MessageKind returns KindLogMessage.
func (*LogMessage) MessageKind() MessageKind { return KindLogMessage }

func init() {
	registerMessages(func() Message { return new(LogMessage) })
}
