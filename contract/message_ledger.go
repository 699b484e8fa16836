package contract

import "time"

// The message kinds of the outcome ledger.
const (
	KindLedgerAppend   MessageKind = 70
	KindLedgerAppended MessageKind = 71
	KindLedgerRead     MessageKind = 72
	KindLedgerRows     MessageKind = 73
	KindLedgerPull     MessageKind = 74
	KindLedgerBatches  MessageKind = 75
	KindLedgerReport   MessageKind = 76
	KindLedgerReported MessageKind = 77
)

// LedgerOrigin names the writer of a batch: one incarnation of an entry.
type LedgerOrigin struct {
	Host        HostID
	Incarnation Incarnation
}

// LedgerBatch holds outcomes that are synced together. Origin and Seq name it
// for good.
type LedgerBatch struct {
	Origin  LedgerOrigin
	Seq     uint64
	At      time.Time
	Records []OutcomeRecord
}

// LedgerAppend asks a control host to sync batches.
type LedgerAppend struct {
	Batches []LedgerBatch
}

// LedgerAppended answers LedgerAppend: all of its batches are synced.
type LedgerAppended struct{}

// LedgerRead asks a control host for the rows of a job.
type LedgerRead struct {
	Job JobID
}

// OutcomeRow is what the ledger holds of one task: the records that neither
// agree with nor replace each other.
type OutcomeRow struct {
	Records []OutcomeRecord `json:"records"`
}

// LedgerRows answers LedgerRead, in the order of the tasks.
type LedgerRows struct {
	Rows []OutcomeRow
}

// SeqRange is the sequence numbers from First to Last, both included.
type SeqRange struct {
	First, Last uint64
}

// LedgerHeld says which batches of one origin a control host holds.
type LedgerHeld struct {
	Origin LedgerOrigin
	Ranges []SeqRange
}

// LedgerPull asks a control host for the batches that the sender lacks.
type LedgerPull struct {
	Held []LedgerHeld
}

// LedgerBatches answers LedgerPull. More says that further batches are left,
// Filled that the sender's file is not a new one that is being filled.
type LedgerBatches struct {
	Batches []LedgerBatch
	More    bool
	Filled  bool
}

// LedgerReport hands an entry the outcomes of tasks whose own entry is gone.
type LedgerReport struct {
	Records []OutcomeRecord
}

// LedgerReported answers LedgerReport: a majority has synced the outcomes.
type LedgerReported struct{}

// MessageKind implements Message.
func (*LedgerReport) MessageKind() MessageKind { return KindLedgerReport }

// MessageKind implements Message.
func (*LedgerReported) MessageKind() MessageKind { return KindLedgerReported }

// MessageKind implements Message.
func (*LedgerAppend) MessageKind() MessageKind { return KindLedgerAppend }

// MessageKind implements Message.
func (*LedgerAppended) MessageKind() MessageKind { return KindLedgerAppended }

// MessageKind implements Message.
func (*LedgerRead) MessageKind() MessageKind { return KindLedgerRead }

// MessageKind implements Message.
func (*LedgerRows) MessageKind() MessageKind { return KindLedgerRows }

// MessageKind implements Message.
func (*LedgerPull) MessageKind() MessageKind { return KindLedgerPull }

// MessageKind implements Message.
func (*LedgerBatches) MessageKind() MessageKind { return KindLedgerBatches }

func init() {
	register(
		func() Message { return new(LedgerAppend) },
		func() Message { return new(LedgerAppended) },
		func() Message { return new(LedgerRead) },
		func() Message { return new(LedgerRows) },
		func() Message { return new(LedgerPull) },
		func() Message { return new(LedgerBatches) },
		func() Message { return new(LedgerReport) },
		func() Message { return new(LedgerReported) },
	)
}
