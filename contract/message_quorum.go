package contract

import (
	"crypto/rand"
	"net/http"
	"slices"
	"time"
)

// The message kinds of the agreement between control hosts, and of the edits
// that reach it.
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

// DiskID names one data folder of a control host. It is drawn at random when
// the folder is first used, so that a host that lost its disk has another.
type DiskID string

// NewDiskID draws a disk ID from the system's random source.
func NewDiskID() DiskID { return DiskID(rand.Text()) }

// Member is one control host with the disk that it votes with.
type Member struct {
	Host HostID `json:"host"`
	Disk DiskID `json:"disk"`
	// Addr is the link address of a host that the settings may not name.
	Addr string `json:"addr,omitempty"`
}

// Group are the control hosts of one epoch. It is part of the agreed value.
type Group struct {
	Epoch uint64 `json:"epoch"`
	// Version is the version of the tables that the group came with.
	Version Version  `json:"version"`
	Members []Member `json:"members"`
	// Old are the members before a change that is not settled yet. While
	// there are any, a quorum is a majority of Members and one of Old.
	Old []Member `json:"old,omitempty"`
}

// Formed reports whether the group was agreed on.
func (g Group) Formed() bool { return g.Epoch > 0 }

// Joint reports whether a change of the members is not settled yet.
func (g Group) Joint() bool { return len(g.Old) > 0 }

// Clone returns a copy that shares no slice with g.
func (g Group) Clone() Group {
	g.Members = slices.Clone(g.Members)
	g.Old = slices.Clone(g.Old)
	return g
}

// Find returns the member of the host.
func (g Group) Find(id HostID) (Member, bool) {
	i := slices.IndexFunc(g.Members, func(m Member) bool { return m.Host == id })
	if i < 0 {
		return Member{}, false
	}
	return g.Members[i], true
}

// Hosts returns the hosts that have a member, new or old.
func (g Group) Hosts() []HostID {
	var out []HostID
	for _, m := range slices.Concat(g.Members, g.Old) {
		if !slices.Contains(out, m.Host) {
			out = append(out, m.Host)
		}
	}
	return out
}

// Ballot orders the rounds of agreement. Nonce is drawn by each process, so
// that no two processes ever use one ballot.
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

// Prepare asks an acceptor to promise ballot Ballot.
type Prepare struct {
	Ballot Ballot
	// Forming asks hosts whose disk is empty to become the first members.
	Forming bool
	// Have is the ballot of the value that the sender holds: a promise of the
	// same value leaves it out.
	Have Ballot
}

// Promise answers Prepare. Where OK is false, Promised is the higher ballot.
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

// Accepted answers Accept. Where OK is false, Promised is the higher ballot.
type Accepted struct {
	OK       bool
	Disk     DiskID
	Promised Ballot
}

// Copy gives a host that is to become a member the value that was chosen under
// Ballot.
type Copy struct {
	Ballot Ballot
	Value  []byte
}

// Copied answers Copy once the value is synced.
type Copied struct {
	Disk DiskID
}

// VoterQuery asks a control host for the state of its vote.
type VoterQuery struct{}

// VoterState answers VoterQuery.
type VoterState struct {
	Disk DiskID
	// Voter says that the disk holds a state to vote from.
	Voter    bool
	Accepted Ballot
	Version  Version
	// Fault says why the host refuses to vote; empty where it does not.
	Fault string
}

// TablesRead asks a control host for the tables as agreed by a quorum.
type TablesRead struct {
	// Have is the version in force at the sender.
	Have Version
}

// EditRequest asks a control host to agree on an edit.
type EditRequest struct {
	Edit Edit
}

// EditReply answers EditRequest: the version that the edit made.
type EditReply struct {
	Version Version
}

// EditRecord is one accepted edit: the first answer that it got and what it
// changed.
type EditRecord struct {
	Version Version   `json:"version"`
	ID      EditID    `json:"id"`
	At      time.Time `json:"at"`
	Change  string    `json:"change"`
}

// HistoryRead asks a control host for the last accepted edits.
type HistoryRead struct{}

// History answers HistoryRead, oldest first.
type History struct {
	Edits []EditRecord
}

// MemberAction is a change of the control hosts.
type MemberAction string

// The changes of the control hosts.
const (
	MemberAdd     MemberAction = "add"
	MemberRemove  MemberAction = "remove"
	MemberReplace MemberAction = "replace"
)

// MemberRequest asks a control host to change the members by one.
type MemberRequest struct {
	Action MemberAction `json:"action"`
	Host   HostID       `json:"host"`
	Addr   string       `json:"addr,omitempty"`
}

// MemberReply answers MemberRequest with the group then in force.
type MemberReply struct {
	Group Group
}

// RowVersions tells an agent which edits last changed or removed the rows of
// its pools. Names come with the newest version first sent or changed.
type RowVersions struct {
	// Tables is the version in force at the sender.
	Tables Version
	Routes []RowVersion
	Pools  []RowVersion
}

// RowVersion is the edit that last changed or removed a row.
type RowVersion struct {
	Name    string
	Version Version
}

// The kinds of error of edits.
var (
	ErrEditUnknown = Kind{"edit-unknown", http.StatusGatewayTimeout, OutcomeUnknown, "send the same edit again with the same edit ID: it gets its first answer and never applies twice"}
	ErrMembers     = Kind{"members", http.StatusConflict, OutcomeNotRun, "read carawayctl members, and make the change again"}
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
	register(
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
