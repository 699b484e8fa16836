package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
	"github.com/carawaylanding/carawaylanding/metrics"
	"github.com/carawaylanding/carawaylanding/record"
)

// Caller sends a request to a record holder or another entry, and returns the
// reply.
type Caller interface {
	Call(ctx context.Context, m contract.Message) (contract.Message, error)
}

// RecordHolder is one holder of job records, as seen by its clients.
type RecordHolder struct {
	Host contract.HostID
	Caller
	// Local means that the holder is in this process and replies without
	// blocking.
	Local bool
}

// RecordTimeout limits how long after a request to the record holders their
// replies are counted. A restarted holder waits longer than this before it
// copies the records, so that no reply of its previous process is counted
// together with one made after the copy.
const RecordTimeout = time.Second

// RecordClient is a client of the holders of job records. It sends each request
// to all of them and evaluates the replies of a quorum.
type RecordClient struct {
	// Self is this process.
	Self host.Ref
	// Holders are all record holders; the list is the same on every entry.
	Holders []RecordHolder
	// Peer returns the open link to one incarnation of another entry, or nil if
	// there is none.
	Peer func(host.Ref) Caller
	// HolderReady reports whether the record holder of this process votes, or has
	// had long enough to recover; nil means true.
	HolderReady func() bool
	// Retention is how long an idempotency key is honoured after its job's
	// deadline. It also limits the deadline of a job with a key.
	Retention time.Duration

	lastAttempt atomic.Uint64
}

// epoch returns a new epoch of this process in the round.
func (r *RecordClient) epoch(round uint64) contract.RecordEpoch {
	return contract.RecordEpoch{
		Round:       round,
		Host:        r.Self.Host,
		Incarnation: r.Self.Incarnation,
		Attempt:     r.lastAttempt.Add(1),
	}
}

// ttl returns how long the record of a job with the deadline is kept.
func (r *RecordClient) ttl(deadline time.Time) time.Duration {
	return max(0, time.Until(deadline)) + r.Retention
}

type holderReply struct {
	from  contract.HostID
	reply *contract.RecordReply
}

// queryHolders sends m to every holder. It returns the tally of their replies
// once its verdict is decided or the limit, which is at most RecordTimeout, has
// passed.
func (r *RecordClient) queryHolders(limit time.Duration, m contract.Message) *record.Tally {
	metrics.RecordRequests.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	replies := make(chan holderReply, len(r.Holders))
	tally := record.NewTally(len(r.Holders))
	began := time.Now()
	for _, h := range r.Holders {
		if h.Local {
			continue
		}
		metrics.RecordMessages.Add(1)
		go func() { replies <- holderReply{h.Host, recordReply(h.Call(ctx, m))} }()
	}
	for _, h := range r.Holders {
		if h.Local {
			tally.Add(h.Host, recordReply(h.Call(ctx, m)))
		}
	}
	defer cancel()
	for tally.Verdict() == record.Undecided {
		select {
		case a := <-replies:
			if time.Since(began) < limit {
				tally.Add(a.from, a.reply)
				continue
			}
		case <-ctx.Done():
		}
		break
	}
	if tally.Final() == record.NoQuorum {
		metrics.RecordNoQuorum.Add(1)
	}
	return tally
}

// recordReply returns the holder's reply, or nil if the call failed.
func recordReply(m contract.Message, err error) *contract.RecordReply {
	reply, ok := m.(*contract.RecordReply)
	if err != nil || !ok {
		return nil
	}
	return reply
}

// refusalError returns the error for a tally without a grant. An earlier
// submission with the key may have run, so the outcome is unknown unless the
// replies rule that out.
func refusalError(t *record.Tally) error {
	switch t.Final() {
	case record.Conflict:
		return keyReusedError(!t.NeverRecorded())
	case record.Full:
		return withUnknownOutcome(contract.ErrOverload.WithRetryAfter(recordsFullRetryAfter, "the record holders have no room for another key"))
	}
	return withUnknownOutcome(contract.ErrNoQuorum.WithRetryAfter(time.Second, "no quorum of record holders answered, so this submission started nothing; an earlier one with the key may have"))
}

// recordsFullRetryAfter is the Retry-After time when the record holders are
// full.
const recordsFullRetryAfter = 10 * time.Second

func keyReusedError(mayHaveRun bool) error {
	err := contract.ErrKeyReused.With("the key was used with another body")
	if mayHaveRun {
		return withUnknownOutcome(err)
	}
	return err
}

// withUnknownOutcome sets the outcome of an error to unknown, unless the error
// contains task results. The error covers only this submission, and an earlier
// one with the same key may have run.
func withUnknownOutcome(err error) error {
	if e, ok := contract.AsError(err); ok && len(e.Tasks) == 0 {
		e.Outcome = contract.OutcomeUnknown
	}
	return err
}
