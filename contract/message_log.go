package contract

// The message kinds of the replicated log.
const (
	KindLogMessage MessageKind = 100
)

// LogMember is a control host with one disk: the same host with another disk
// is another member.
type LogMember struct {
	// Addr is the IP:port of the host's links.
	Addr string
	Disk DiskID
}

// LogGroup is the set of hosts that keep the log.
type LogGroup struct {
	// Voters decide; Learners are sent the log and do not count.
	Voters   []LogMember
	Learners []LogMember
}

// LogEntry is one entry of the replicated log.
type LogEntry struct {
	Index uint64
	Term  uint64
	// Group is set on an entry that changes the group.
	Group *LogGroup
	// Data is what the driver proposed; empty on a leader's first entry.
	Data []byte
}

// LogMessageType tells the messages of the replicated log apart.
type LogMessageType uint8

// The messages of the replicated log.
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
	// Index and LogTerm are those of the entry before Entries, of the
	// sender's last entry in a vote, or of the snapshot. In a reply to
	// LogAppend, Index is the last entry that is synced.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []LogEntry
	// Refused says no; Hint is then the last index that may match.
	Refused bool
	Hint    uint64
	// SentAt is the leader's clock when it sent LogAppend, in nanoseconds; a
	// reply carries it back.
	SentAt int64
	// Group and Data are those of a snapshot.
	Group LogGroup
	Data  []byte
}

// MessageKind returns KindLogMessage.
func (*LogMessage) MessageKind() MessageKind { return KindLogMessage }

func init() {
	register(func() Message { return new(LogMessage) })
}
