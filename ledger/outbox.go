package ledger

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Limits of an outbox, in records.
const (
	// DefaultMaxPending is the number of records not yet acknowledged by a
	// majority at which the outbox is full.
	DefaultMaxPending = 50_000
	// maxRetainedRecords limits the records that a majority has acknowledged and
	// that are retained for lagging control hosts. Those hosts get the records
	// beyond the limit from the other replicas, by Replica.Exchange.
	maxRetainedRecords = 5_000
	// maxAppendRecords is the maximum number of records in one batch, and in one
	// append of several batches.
	maxAppendRecords = 2_000
)

// Outbox holds the records of one entry until a majority of the control hosts
// has synced them. It does no I/O and is not safe for concurrent use.
//
// Invariant: a record is removed from the outbox only after a majority has
// acknowledged its batch. Such a batch is committed.
type Outbox struct {
	origin       contract.LedgerOrigin
	replicaCount int
	maxPending   int

	unbatched []contract.OutcomeRecord
	batches   []outboxBatch
	seq       uint64
	pending   int // records not committed yet, including unbatched ones
	retained  int // committed records retained for lagging replicas
}

// outboxBatch is a batch with the control hosts that have acknowledged it.
type outboxBatch struct {
	contract.LedgerBatch
	acked     map[contract.HostID]bool
	committed bool
}

// NewOutbox returns an empty outbox of records for the given number of control
// hosts. It is full once it has maxPending uncommitted records.
func NewOutbox(origin contract.LedgerOrigin, replicaCount, maxPending int) *Outbox {
	return &Outbox{origin: origin, replicaCount: replicaCount, maxPending: maxPending}
}

// Add adds a record. It accepts records even when the outbox is full: admission
// of new work must check Full.
func (o *Outbox) Add(r contract.OutcomeRecord) {
	o.unbatched = append(o.unbatched, r)
	o.pending++
}

// Full reports whether the outbox has reached its limit of uncommitted records.
// New work must then be refused, so that no record is lost.
func (o *Outbox) Full() bool { return o.pending >= o.maxPending }

// Pending returns the number of records that are not committed yet.
func (o *Outbox) Pending() int { return o.pending }

// sealBatches moves the unbatched records into new batches.
func (o *Outbox) sealBatches(now time.Time) {
	for len(o.unbatched) > 0 {
		n := min(len(o.unbatched), maxAppendRecords)
		o.seq++
		b := contract.LedgerBatch{Origin: o.origin, Seq: o.seq, At: now, Records: o.unbatched[:n:n]}
		o.batches = append(o.batches, outboxBatch{LedgerBatch: b, acked: make(map[contract.HostID]bool)})
		o.unbatched = o.unbatched[n:]
	}
	o.unbatched = nil
}

// Seal moves the unbatched records into new batches, and returns the sequence
// number of the last batch.
func (o *Outbox) Seal(now time.Time) uint64 {
	o.sealBatches(now)
	return o.seq
}

// Position returns the sequence number of the batch that contains, or will
// contain, the record added last.
func (o *Outbox) Position() uint64 {
	return o.seq + uint64((len(o.unbatched)+maxAppendRecords-1)/maxAppendRecords)
}

// CommittedThrough reports whether every batch up to seq is committed. It returns
// false if batch seq has not been created yet.
func (o *Outbox) CommittedThrough(seq uint64) bool {
	if seq > o.seq {
		return false
	}
	for _, b := range o.batches {
		if b.Seq <= seq && !b.committed {
			return false
		}
	}
	return true
}

// Next returns the batches to send to the replica on host: the oldest ones that it
// has not acknowledged. It first moves the unbatched records into new batches.
func (o *Outbox) Next(now time.Time, host contract.HostID) []contract.LedgerBatch {
	o.sealBatches(now)
	var out []contract.LedgerBatch
	size := 0
	for _, b := range o.batches {
		if b.acked[host] {
			continue
		}
		if size += len(b.Records); size > maxAppendRecords && len(out) > 0 {
			break
		}
		out = append(out, b.LedgerBatch)
	}
	return out
}

// Acked records that the replica on host has synced the batches.
func (o *Outbox) Acked(host contract.HostID, batches []contract.LedgerBatch) {
	seqs := make(map[uint64]bool, len(batches))
	for _, b := range batches {
		seqs[b.Seq] = true
	}
	for i := range o.batches {
		b := &o.batches[i]
		if !seqs[b.Seq] {
			continue
		}
		b.acked[host] = true
		if !b.committed && len(b.acked) > o.replicaCount/2 {
			b.committed = true
			o.pending -= len(b.Records)
			o.retained += len(b.Records)
		}
	}
	o.trim()
}

// trim discards the batches that every replica has acknowledged, and the oldest
// committed ones in excess of maxRetainedRecords.
func (o *Outbox) trim() {
	remaining := o.batches[:0]
	for _, b := range o.batches {
		fullyAcked := len(b.acked) == o.replicaCount
		if b.committed && (fullyAcked || o.retained > maxRetainedRecords) {
			o.retained -= len(b.Records)
			continue
		}
		remaining = append(remaining, b)
	}
	clear(o.batches[len(remaining):])
	o.batches = remaining
}
