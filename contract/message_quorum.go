package contract

import (
	"crypto/rand"
	"net/http"
	"slices"
	"time"
)

// The message kinds for edits and reads of the tables, for membership changes, and
// for the consensus between control hosts on both.
const (
	KindTablesRead    MessageKind = 32
	KindEditRequest   MessageKind = 33
	KindEditReply     MessageKind = 34
	KindPrepare       MessageKind = 35
	KindPromise       MessageKind = 36
	KindAccept        MessageKind = 37
	KindAccepted      MessageKind = 38
	KindRowVersions   MessageKind = 39
	KindCopy          MessageKind = 50
	KindCopied        MessageKind = 51
	KindVoterQuery    MessageKind = 52
	KindVoterState    MessageKind = 53
	KindHistoryRead   MessageKind = 54
	KindHistory       MessageKind = 55
	KindMemberRequest MessageKind = 56
	KindMemberReply   MessageKind = 57
)

// DiskID identifies one data folder of a control host. It is chosen at random when
// the folder is first used, so that a host that lost its disk gets a new one.
type DiskID string

// NewDiskID returns a random disk ID.
func NewDiskID() DiskID { return DiskID(rand.Text()) }

// Member is a control host that votes, with the disk that stores its votes.
type Member struct {
	Host HostID `json:"host"`
	Disk DiskID `json:"disk"`
	// Addr is the link address of the host, for processes whose settings do not
	// list it.
	Addr string `json:"addr,omitempty"`
}

// Group is the set of control hosts of one epoch. It is part of the value that the
// control hosts agree on.
type Group struct {
	Epoch uint64 `json:"epoch"`
	// Version is the tables version in which the group took effect.
	Version Version  `json:"version"`
	Members []Member `json:"members"`
	// Old holds the members before a membership change that is still in progress.
	// If it is not empty, a quorum needs a majority of Members and a majority of
	// Old.
	Old []Member `json:"old,omitempty"`
}

// Formed reports whether the group exists, rather than being the zero value.
func (g Group) Formed() bool { return g.Epoch > 0 }

// Joint reports whether a membership change is in progress, so that a quorum needs
// majorities of both the new and the old members.
func (g Group) Joint() bool { return len(g.Old) > 0 }

// Clone returns a copy that shares no slice with g.
func (g Group) Clone() Group {
	g.Members = slices.Clone(g.Members)
	g.Old = slices.Clone(g.Old)
	return g
}

// Find returns the current member on the host, and whether there is one.
func (g Group) Find(id HostID) (Member, bool) {
	i := slices.IndexFunc(g.Members, func(m Member) bool { return m.Host == id })
	if i < 0 {
		return Member{}, false
	}
	return g.Members[i], true
}

// Hosts returns the hosts of the current and the old members, without
// duplicates.
func (g Group) Hosts() []HostID {
	var out []HostID
	for _, m := range slices.Concat(g.Members, g.Old) {
		if !slices.Contains(out, m.Host) {
			out = append(out, m.Host)
		}
	}
	return out
}

// Ballot orders the rounds of consensus. Each process chooses Nonce at random when
// it starts, so that no two processes use the same ballot, even on the same host.
type Ballot struct {
	Round uint64
	Host  HostID
	Nonce uint64
}

// Less reports whether b comes before o.
func (b Ballot) Less(o Ballot) bool {
	if b.Round != o.Round {
		return b.Round < o.Round
	}
	if b.Host != o.Host {
		return b.Host < o.Host
	}
	return b.Nonce < o.Nonce
}

// Prepare asks an acceptor to promise not to accept ballots below Ballot.
type Prepare struct {
	Ballot Ballot
	// Forming asks hosts with an empty disk to become the first members.
	Forming bool
	// Have is the ballot of the value that the sender already has. An acceptor that
	// has accepted the same value omits it from its promise.
	Have Ballot
}

// Promise is the reply to Prepare. If OK is false, Promised is the ballot that the
// acceptor has already promised.
type Promise struct {
	OK       bool
	Disk     DiskID
	Promised Ballot
	Accepted Ballot
	Value    []byte
}

// Accept asks an acceptor to accept Value under Ballot.
type Accept struct {
	Ballot Ballot
	Value  []byte
}

// Accepted is the reply to Accept. If OK is false, Promised is the ballot that the
// acceptor has already promised.
type Accepted struct {
	OK       bool
	Disk     DiskID
	Promised Ballot
}

// Copy transfers the value that was chosen under Ballot to a host that is about to
// become a member, or to a member that has an older value. The receiver becomes a
// voter.
type Copy struct {
	Ballot Ballot
	Value  []byte
}

// Copied is the reply to Copy once the value is synced.
type Copied struct {
	Disk DiskID
}

// VoterQuery asks a control host for its state as a voter.
type VoterQuery struct{}

// VoterState is the reply to VoterQuery.
type VoterState struct {
	Disk DiskID
	// Voter is set if the disk holds a voter's state, so that the host may vote.
	Voter bool
	// Accepted is the ballot of the value that the host has accepted or copied, and
	// Version the tables version in that value.
	Accepted Ballot
	Version  Version
	// Fault is the reason why the host can't vote; empty if there is none.
	Fault string
}

// TablesRead asks a control host for the tables, read from a quorum.
type TablesRead struct {
	// Have is the tables version in force at the sender.
	Have Version
}

// EditRequest asks a control host to apply an edit by consensus.
type EditRequest struct {
	Edit Edit
}

// EditReply is the reply to EditRequest, with the version that the edit created.
type EditReply struct {
	Version Version
}

// EditRecord records an accepted edit: the version that it created, which is the
// answer to every request with its ID, and a description of the change.
type EditRecord struct {
	Version Version   `json:"version"`
	ID      EditID    `json:"id"`
	At      time.Time `json:"at"`
	Change  string    `json:"change"`
}

// HistoryRead asks a control host for the most recent accepted edits.
type HistoryRead struct{}

// History is the reply to HistoryRead, oldest edit first.
type History struct {
	Edits []EditRecord
}

// MemberAction is a kind of membership change of the control hosts.
type MemberAction string

// The membership changes.
const (
	MemberAdd     MemberAction = "add"
	MemberRemove  MemberAction = "remove"
	MemberReplace MemberAction = "replace"
)

// MemberRequest asks a control host to add, remove or replace one member.
type MemberRequest struct {
	Action MemberAction `json:"action"`
	Host   HostID       `json:"host"`
	Addr   string       `json:"addr,omitempty"`
}

// MemberReply is the reply to MemberRequest, with the group after the change.
type MemberReply struct {
	Group Group
}

// RowVersions tells an agent in which version each route, and each row of its own
// pools, was last changed or removed. An entry sends all of them when the agent
// announces itself, and later those that changed.
type RowVersions struct {
	// TablesVersion is the tables version in force at the sender.
	TablesVersion Version
	Routes        []RowVersion
	Pools         []RowVersion
}

// RowVersion is the version in which a row was last changed or removed.
type RowVersion struct {
	Name    string
	Version Version
}

// The kinds of error of edits and membership changes.
var (
	ErrEditUnknown = ErrorKind{"edit-unknown", http.StatusGatewayTimeout, OutcomeUnknown, "send the same edit again with the same edit ID: it gets its first answer and never applies twice"}
	ErrMembers     = ErrorKind{"members", http.StatusConflict, OutcomeNotRun, "read carawayctl members, and make the change again"}
)

// MessageKind implements Message.
func (*Prepare) MessageKind() MessageKind { return KindPrepare }

// MessageKind implements Message.
func (*Promise) MessageKind() MessageKind { return KindPromise }

// MessageKind implements Message.
func (*Accept) MessageKind() MessageKind { return KindAccept }

// MessageKind implements Message.
func (*Accepted) MessageKind() MessageKind { return KindAccepted }

// MessageKind implements Message.
func (*Copy) MessageKind() MessageKind { return KindCopy }

// MessageKind implements Message.
func (*Copied) MessageKind() MessageKind { return KindCopied }

// MessageKind implements Message.
func (*VoterQuery) MessageKind() MessageKind { return KindVoterQuery }

// MessageKind implements Message.
func (*VoterState) MessageKind() MessageKind { return KindVoterState }

// MessageKind implements Message.
func (*TablesRead) MessageKind() MessageKind { return KindTablesRead }

// MessageKind implements Message.
func (*EditRequest) MessageKind() MessageKind { return KindEditRequest }

// MessageKind implements Message.
func (*EditReply) MessageKind() MessageKind { return KindEditReply }

// MessageKind implements Message.
func (*HistoryRead) MessageKind() MessageKind { return KindHistoryRead }

// MessageKind implements Message.
func (*History) MessageKind() MessageKind { return KindHistory }

// MessageKind implements Message.
func (*MemberRequest) MessageKind() MessageKind { return KindMemberRequest }

// MessageKind implements Message.
func (*MemberReply) MessageKind() MessageKind { return KindMemberReply }

// MessageKind implements Message.
func (*RowVersions) MessageKind() MessageKind { return KindRowVersions }

func init() {
	registerMessages(
		func() Message { return new(Prepare) },
		func() Message { return new(Promise) },
		func() Message { return new(Accept) },
		func() Message { return new(Accepted) },
		func() Message { return new(Copy) },
		func() Message { return new(Copied) },
		func() Message { return new(VoterQuery) },
		func() Message { return new(VoterState) },
		func() Message { return new(TablesRead) },
		func() Message { return new(EditRequest) },
		func() Message { return new(EditReply) },
		func() Message { return new(HistoryRead) },
		func() Message { return new(History) },
		func() Message { return new(MemberRequest) },
		func() Message { return new(MemberReply) },
		func() Message { return new(RowVersions) },
	)
}
