package contract

import "time"

// The message kinds for job records, and for handing a job's answer from the
// entry that owns it to another.
const (
	KindRecordWrite   MessageKind = 40
	KindRecordPrepare MessageKind = 41
	KindRecordReply   MessageKind = 42
	KindRecordCopy    MessageKind = 43
	KindRecordPage    MessageKind = 44
	KindJobWait       MessageKind = 45
	KindJobAnswer     MessageKind = 46
)

// RecordEpoch orders the owners of one job. An owner's epoch is never used
// again: Attempt counts the submissions of one process.
type RecordEpoch struct {
	Round       uint64
	Host        HostID
	Incarnation Incarnation
	Attempt     uint64
}

// FirstRound is the round of a claim made without reading a quorum first.
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

// Placement says that an attempt at a task may have been sent to a worker.
type Placement struct {
	Task        uint32
	Attempt     uint32
	Worker      HostID
	Incarnation Incarnation
}

// RecordWrite claims a job's record, or extends its plan, under an epoch.
type RecordWrite struct {
	Job    JobID
	Digest string
	Epoch  RecordEpoch
	Plan   []Placement
	// TTL is how long the record must be kept from now.
	TTL time.Duration
}

// RecordPrepare takes a job's record over: the holder promises to refuse the
// epochs before, and returns the plan.
type RecordPrepare struct {
	Job    JobID
	Digest string
	Epoch  RecordEpoch
	TTL    time.Duration
}

// RecordVerdict is a holder's answer.
type RecordVerdict uint8

// The verdicts of a holder.
const (
	// RecordGranted means that the holder keeps what was written.
	RecordGranted RecordVerdict = iota + 1
	// RecordAbstains means that the holder may have forgotten records.
	RecordAbstains
	// RecordOwned means that another epoch holds the record.
	RecordOwned
	// RecordConflict means that the record is for another body.
	RecordConflict
	// RecordFull means that the holder has no room for another record.
	RecordFull
)

// RecordReply answers RecordWrite and RecordPrepare.
type RecordReply struct {
	Verdict RecordVerdict
	// Promised is the epoch that holds the record.
	Promised RecordEpoch
	// Plan answers a granted RecordPrepare.
	Plan []Placement
}

// RecordCopy asks a holder for the records of one bucket.
type RecordCopy struct {
	Bucket int
}

// JobRecord is one record as it is copied.
type JobRecord struct {
	Job    JobID
	Digest string
	Epoch  RecordEpoch
	Plan   []Placement
	TTL    time.Duration
}

// RecordPage answers RecordCopy. Where Serving is false the sender abstains,
// and the page says nothing.
type RecordPage struct {
	Serving bool
	Records []JobRecord
}

// JobWait asks the owner of a job for its answer, once it has one.
type JobWait struct {
	Job    JobID
	Digest string
}

// JobAnswer answers JobWait. Where Final is false the job ended without an
// answer that stands: the asker takes it over.
type JobAnswer struct {
	Final bool
	// Failed says that the job failed with the error that follows.
	Failed     bool
	Kind       Kind
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
	register(
		func() Message { return new(RecordWrite) },
		func() Message { return new(RecordPrepare) },
		func() Message { return new(RecordReply) },
		func() Message { return new(RecordCopy) },
		func() Message { return new(RecordPage) },
		func() Message { return new(JobWait) },
		func() Message { return new(JobAnswer) },
	)
}
