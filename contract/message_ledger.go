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

// LedgerOrigin identifies the writer of a batch: one incarnation of an entry.
type LedgerOrigin struct {
	Host        HostID
	Incarnation Incarnation
}

// LedgerBatch holds outcome records that are synced together. Origin and Seq
// identify it permanently.
type LedgerBatch struct {
	Origin LedgerOrigin
	Seq    uint64
	// At is the time at which the entry created the batch.
	At      time.Time
	Records []OutcomeRecord
}

// LedgerAppend asks a control host to store and sync batches.
type LedgerAppend struct {
	Batches []LedgerBatch
}

// LedgerAppended is the reply to LedgerAppend once all of its batches are synced.
type LedgerAppended struct{}

// LedgerRead asks a control host for the rows of a job.
type LedgerRead struct {
	Job JobID
}

// OutcomeRow holds the ledger's merged records of one task. Records with the same
// outcome are merged into one, and a final outcome replaces an unknown one. All
// other records are kept.
type OutcomeRow struct {
	Records []OutcomeRecord `json:"records"`
}

// LedgerRows is the reply to LedgerRead. The rows are in the order of the tasks.
type LedgerRows struct {
	Rows []OutcomeRow
}

// SeqRange is the range of sequence numbers from First to Last, inclusive.
type SeqRange struct {
	First, Last uint64
}

// LedgerBatchSet holds the sequence numbers of the batches of one origin that a
// control host has stored.
type LedgerBatchSet struct {
	Origin LedgerOrigin
	Ranges []SeqRange
}

// LedgerPull asks a control host for the batches that the sender does not have.
// Have lists those that it has.
type LedgerPull struct {
	Have []LedgerBatchSet
}

// LedgerBatches is the reply to LedgerPull. More is set if there are further
// batches to pull. Filled is false while the ledger file of the replying host is
// new and still being backfilled from its peers.
type LedgerBatches struct {
	Batches []LedgerBatch
	More    bool
	Filled  bool
}

// LedgerReport asks an entry to record the outcomes of tasks whose owner, another
// entry, was lost. It is sent by the agent that ran the tasks.
type LedgerReport struct {
	Records []OutcomeRecord
}

// LedgerReported is the reply to LedgerReport once a majority has synced the
// outcomes.
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
	registerMessages(
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
