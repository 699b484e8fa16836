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

// Caller calls another process, or a holder in this one.
type Caller interface {
	Call(ctx context.Context, m contract.Message) (contract.Message, error)
}

// Holder is one holder of job records.
type Holder struct {
	Host contract.HostID
	Caller
	// Local says that the holder is in this process and answers at once.
	Local bool
}

// RecordTimeout is how long the answers to one quorum request count. A holder
// that restarted waits longer than this before it copies the records, so that
// no answer of its earlier process counts beside one made after the copy.
const RecordTimeout = time.Second

// Records asks the holders of job records.
type Records struct {
	// Self is this process.
	Self host.Ref
	// Holders are the same on every entry.
	Holders []Holder
	// Peer returns the open link to one incarnation of another entry, or nil.
	Peer func(host.Ref) Caller
	// Ready reports whether this process's own holder votes, or has had long
	// enough to; nil means true.
	Ready func() bool
	// Retention is how long a key is honoured after its job's deadline, and the
	// longest deadline with a key.
	Retention time.Duration

	attempts atomic.Uint64
}

// epoch returns a new epoch of the round.
func (r *Records) epoch(round uint64) contract.RecordEpoch {
	return contract.RecordEpoch{
		Round:       round,
		Host:        r.Self.Host,
		Incarnation: r.Self.Incarnation,
		Attempt:     r.attempts.Add(1),
	}
}

// ttl returns how long the record of a job with the deadline is kept.
func (r *Records) ttl(deadline time.Time) time.Duration {
	return max(0, time.Until(deadline)) + r.Retention
}

type holderAnswer struct {
	from  contract.HostID
	reply *contract.RecordReply
}

// ask sends m to every holder, and returns the answers once they decide or
// the limit, which is at most RecordTimeout, has passed.
func (r *Records) ask(limit time.Duration, m contract.Message) *record.Tally {
	metrics.RecordWrites.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	answers := make(chan holderAnswer, len(r.Holders))
	tally := record.NewTally(len(r.Holders))
	began := time.Now()
	for _, h := range r.Holders {
		if h.Local {
			continue
		}
		metrics.RecordMessages.Add(1)
		go func() { answers <- holderAnswer{h.Host, replyOf(h.Call(ctx, m))} }()
	}
	for _, h := range r.Holders {
		if h.Local {
			tally.Add(h.Host, replyOf(h.Call(ctx, m)))
		}
	}
	defer cancel()
	for tally.Verdict() == record.Undecided {
		select {
		case a := <-answers:
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

// replyOf returns the holder's reply, or nil where it gave none.
func replyOf(m contract.Message, err error) *contract.RecordReply {
	reply, ok := m.(*contract.RecordReply)
	if err != nil || !ok {
		return nil
	}
	return reply
}

// refusal returns the error for a verdict that grants nothing. An earlier
// submission of the key may have run, so the outcome is unknown unless the
// answers rule that out.
func refusal(t *record.Tally) error {
	switch t.Final() {
	case record.Conflict:
		return keyReused(!t.NeverOwned())
	case record.Full:
		return unknownOf(contract.ErrOverload.Refuse(recordFullRetry, "the record holders have no room for another key"))
	}
	return unknownOf(contract.ErrNoQuorum.Refuse(time.Second, "no quorum of record holders answered, so this submission started nothing; an earlier one with the key may have"))
}

// recordFullRetry is when a caller comes back to full holders.
const recordFullRetry = 10 * time.Second

func keyReused(unsure bool) error {
	err := contract.ErrKeyReused.With("the key was used with another body")
	if unsure {
		return unknownOf(err)
	}
	return err
}

// unknownOf makes a refusal say that the work may have run: it knows of this
// submission only, and not of earlier ones with the key.
func unknownOf(err error) error {
	if e, ok := contract.AsError(err); ok && len(e.Tasks) == 0 {
		e.Outcome = contract.OutcomeUnknown
	}
	return err
}
