package ledger

import (
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Limits of an outbox.
const (
	// DefaultMaxPending is the number of records without a majority of
	// acknowledgements at which the outbox is full.
	DefaultMaxPending = 50_000
	// lagWindow is the number of acknowledged records that are kept for a
	// control host that lags; what falls out reaches it by exchange.
	lagWindow = 5_000
	// maxSend bounds the records of one append.
	maxSend = 2_000
)

// Outbox holds the records of one entry until a majority of the control hosts
// has synced them. It is pure and not safe for concurrent use.
//
// Invariant: a record leaves the outbox only after a majority has acknowledged
// its batch.
type Outbox struct {
	origin     contract.LedgerOrigin
	holders    int
	maxPending int

	open    []contract.OutcomeRecord
	batches []pendingBatch
	seq     uint64
	pending int // records that lack a majority, open ones included
	lagging int // records kept for laggards only
}

type pendingBatch struct {
	contract.LedgerBatch
	acked map[contract.HostID]bool
	safe  bool
}

// NewOutbox returns an empty outbox that writes to the given number of control
// hosts.
func NewOutbox(origin contract.LedgerOrigin, holders, maxPending int) *Outbox {
	return &Outbox{origin: origin, holders: holders, maxPending: maxPending}
}

// Add takes a record. It never drops one: whoever admits work asks Full.
func (o *Outbox) Add(r contract.OutcomeRecord) {
	o.open = append(o.open, r)
	o.pending++
}

// Full reports whether new work must be refused, so that no record is lost.
func (o *Outbox) Full() bool { return o.pending >= o.maxPending }

// Pending returns the number of records that lack a majority.
func (o *Outbox) Pending() int { return o.pending }

// seal closes the open records into batches.
func (o *Outbox) seal(now time.Time) {
	for len(o.open) > 0 {
		n := min(len(o.open), maxSend)
		o.seq++
		b := contract.LedgerBatch{Origin: o.origin, Seq: o.seq, At: now, Records: o.open[:n:n]}
		o.batches = append(o.batches, pendingBatch{LedgerBatch: b, acked: make(map[contract.HostID]bool)})
		o.open = o.open[n:]
	}
	o.open = nil
}

// Mark closes the open records, and returns the number of the last batch.
func (o *Outbox) Mark(now time.Time) uint64 {
	o.seal(now)
	return o.seq
}

// Position returns the number of the batch that the last record is or will be
// in.
func (o *Outbox) Position() uint64 {
	return o.seq + uint64((len(o.open)+maxSend-1)/maxSend)
}

// SafeThrough reports whether a majority has each batch up to seq.
func (o *Outbox) SafeThrough(seq uint64) bool {
	if seq > o.seq {
		return false
	}
	for _, b := range o.batches {
		if b.Seq <= seq && !b.safe {
			return false
		}
	}
	return true
}

// Next returns the batches to send to holder: the oldest ones that it has not
// acknowledged.
func (o *Outbox) Next(now time.Time, holder contract.HostID) []contract.LedgerBatch {
	o.seal(now)
	var out []contract.LedgerBatch
	size := 0
	for _, b := range o.batches {
		if b.acked[holder] {
			continue
		}
		if size += len(b.Records); size > maxSend && len(out) > 0 {
			break
		}
		out = append(out, b.LedgerBatch)
	}
	return out
}

// Acked records that holder has synced the batches.
func (o *Outbox) Acked(holder contract.HostID, batches []contract.LedgerBatch) {
	seqs := make(map[uint64]bool, len(batches))
	for _, b := range batches {
		seqs[b.Seq] = true
	}
	for i := range o.batches {
		b := &o.batches[i]
		if !seqs[b.Seq] {
			continue
		}
		b.acked[holder] = true
		if !b.safe && len(b.acked) > o.holders/2 {
			b.safe = true
			o.pending -= len(b.Records)
			o.lagging += len(b.Records)
		}
	}
	o.trim()
}

// trim drops the batches that every holder has, and the oldest safe ones
// beyond the lag window.
func (o *Outbox) trim() {
	kept := o.batches[:0]
	for _, b := range o.batches {
		everywhere := len(b.acked) == o.holders
		if b.safe && (everywhere || o.lagging > lagWindow) {
			o.lagging -= len(b.Records)
			continue
		}
		kept = append(kept, b)
	}
	clear(o.batches[len(kept):])
	o.batches = kept
}
