package contract

import "time"

// The message kinds of job records, and of requests to the owner of a job for its
// answer. The record of a job with an idempotency key is kept by a quorum of
// holders, so that a resubmission on any entry finds it; see package record. The
// owner of the job is the entry that runs it.
const (
	KindRecordWrite   MessageKind = 40
	KindRecordPrepare MessageKind = 41
	KindRecordReply   MessageKind = 42
	KindRecordCopy    MessageKind = 43
	KindRecordPage    MessageKind = 44
	KindJobWait       MessageKind = 45
	KindJobAnswer     MessageKind = 46
)

// RecordEpoch orders the owners of one job. No epoch is ever reused, since Attempt
// numbers the submissions that one process handles.
type RecordEpoch struct {
	Round       uint64
	Host        HostID
	Incarnation Incarnation
	Attempt     uint64
}

// FirstRound is the round of an owner that claimed the record without reading a
// quorum first.
const FirstRound = 1

// Less reports whether e comes before o.
func (e RecordEpoch) Less(o RecordEpoch) bool {
	switch {
	case e.Round != o.Round:
		return e.Round < o.Round
	case e.Host != o.Host:
		return e.Host < o.Host
	case e.Incarnation != o.Incarnation:
		return e.Incarnation < o.Incarnation
	}
	return e.Attempt < o.Attempt
}

// Placement records that an attempt at a task may have been sent to a worker. The
// placements of a job are its plan.
type Placement struct {
	Task        uint32
	Attempt     uint32
	Worker      HostID
	Incarnation Incarnation
}

// RecordWrite asks a holder to record Epoch as the owner of a job and to add Plan to
// the job's plan. Digest is the digest of the job's body.
type RecordWrite struct {
	Job    JobID
	Digest string
	Epoch  RecordEpoch
	Plan   []Placement
	// TTL is how long the holder must keep the record, from its arrival.
	TTL time.Duration
}

// RecordPrepare asks a holder to transfer a job's record to Epoch. The holder
// promises to refuse earlier epochs, and returns the plan.
type RecordPrepare struct {
	Job    JobID
	Digest string
	Epoch  RecordEpoch
	TTL    time.Duration
}

// RecordVerdict is a holder's answer to RecordWrite or RecordPrepare.
type RecordVerdict uint8

// The verdicts of a holder.
const (
	// RecordGranted means that the holder has stored the write or promised the
	// epoch.
	RecordGranted RecordVerdict = iota + 1
	// RecordAbstains means that the holder may have lost records, and so does not
	// count towards a quorum.
	RecordAbstains
	// RecordOwned means that another epoch owns the record, and that the request may
	// not replace it.
	RecordOwned
	// RecordConflict means that the record is of a job with a different body.
	RecordConflict
	// RecordFull means that the holder has reached one of its limits.
	RecordFull
	// RecordContested means that the record was merged from copies for different
	// bodies, one of which may be the body of the request.
	RecordContested
)

// RecordReply is the reply to RecordWrite and RecordPrepare.
type RecordReply struct {
	Verdict RecordVerdict
	// Promised is the epoch that owns the record.
	Promised RecordEpoch
	// Plan is the plan of the record, in the reply to a granted RecordPrepare.
	Plan []Placement
}

// RecordCopy asks a holder for the records of one bucket. A restarted holder sends
// it to restore its records; the job ID determines the bucket of a record.
type RecordCopy struct {
	Bucket int
}

// JobRecord is a holder's copy of one job record.
type JobRecord struct {
	Job    JobID
	Digest string
	Epoch  RecordEpoch
	Plan   []Placement
	// TTL is the time that remains until the record expires.
	TTL time.Duration
}

// RecordPage is the reply to RecordCopy. If Serving is false the replying holder
// abstains, and Records says nothing about which records exist.
type RecordPage struct {
	Serving bool
	Records []JobRecord
}

// JobWait asks the owner of a job for its answer. The reply is sent when the job
// has ended.
type JobWait struct {
	Job    JobID
	Digest string
}

// JobAnswer is the reply to JobWait. If Final is false the receiver has no answer that
// can be reused, and the sender of JobWait takes the job over.
type JobAnswer struct {
	Final bool
	// Failed is set if the job failed. Kind, Message, Outcome and RetryAfter then
	// describe the error.
	Failed     bool
	Kind       ErrorKind
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration
	Results    []TaskResult
}

// MessageKind implements Message.
func (*RecordWrite) MessageKind() MessageKind { return KindRecordWrite }

// MessageKind implements Message.
func (*RecordPrepare) MessageKind() MessageKind { return KindRecordPrepare }

// MessageKind implements Message.
func (*RecordReply) MessageKind() MessageKind { return KindRecordReply }

// MessageKind implements Message.
func (*RecordCopy) MessageKind() MessageKind { return KindRecordCopy }

// MessageKind implements Message.
func (*RecordPage) MessageKind() MessageKind { return KindRecordPage }

// MessageKind implements Message.
func (*JobWait) MessageKind() MessageKind { return KindJobWait }

// MessageKind implements Message.
func (*JobAnswer) MessageKind() MessageKind { return KindJobAnswer }

func init() {
	registerMessages(
		func() Message { return new(RecordWrite) },
		func() Message { return new(RecordPrepare) },
		func() Message { return new(RecordReply) },
		func() Message { return new(RecordCopy) },
		func() Message { return new(RecordPage) },
		func() Message { return new(JobWait) },
		func() Message { return new(JobAnswer) },
	)
}
