package record

import "github.com/carawaylanding/carawaylanding/contract"

// Verdict is the combined result of the holders' answers to a request.
type Verdict uint8

// The verdicts of a Tally.
const (
	// Undecided means that no quorum has granted the request yet, but one still can.
	Undecided Verdict = iota
	// Granted means that a quorum has granted the request.
	Granted
	// Owned means that an owner with another epoch has the record.
	Owned
	// Conflict means that the record was written for another request body.
	Conflict
	// Full means that the holders have reached their limits.
	Full
	// NoQuorum means that too few holders answered with a vote.
	NoQuorum
)

// Tally counts the holders' answers to one RecordWrite or RecordPrepare request.
type Tally struct {
	total    int
	answered map[contract.HostID]bool
	verdicts map[contract.RecordVerdict]int
	owner    contract.RecordEpoch
	plan     plan
}

// NewTally returns the tally of a request to n holders.
func NewTally(n int) *Tally {
	return &Tally{
		total:    n,
		answered: make(map[contract.HostID]bool, n),
		verdicts: make(map[contract.RecordVerdict]int),
	}
}

// Add counts a holder's answer. A nil reply means that the holder gave none. Only
// the first call for a holder counts.
func (t *Tally) Add(from contract.HostID, r *contract.RecordReply) {
	if t.answered[from] {
		return
	}
	t.answered[from] = true
	if r == nil {
		return
	}
	t.verdicts[r.Verdict]++
	switch r.Verdict {
	case contract.RecordGranted:
		t.plan.add(r.Plan)
	case contract.RecordOwned, contract.RecordConflict:
		if t.owner.Less(r.Promised) {
			t.owner = r.Promised
		}
	}
}

// Verdict returns the verdict of the answers so far.
func (t *Tally) Verdict() Verdict {
	granted := t.verdicts[contract.RecordGranted]
	unanswered := t.total - len(t.answered)
	switch {
	case granted >= Majority(t.total):
		return Granted
	case granted+unanswered >= Majority(t.total):
		return Undecided
	}
	return t.Final()
}

// Final returns the verdict when no more answers are expected. It is never
// Undecided.
func (t *Tally) Final() Verdict {
	switch {
	case t.verdicts[contract.RecordGranted] >= Majority(t.total):
		return Granted
	case t.verdicts[contract.RecordConflict] > 0:
		return Conflict
	case t.verdicts[contract.RecordOwned] > 0:
		return Owned
	case t.verdicts[contract.RecordFull] > 0:
		return Full
	}
	return NoQuorum
}

// Owner returns the highest epoch in the refusals.
func (t *Tally) Owner() contract.RecordEpoch { return t.owner }

// Plan returns all placements in the replies of the holders that granted the
// request.
func (t *Tally) Plan() []contract.Placement { return t.plan }

// NeverRecorded reports whether the answers prove that no quorum can ever have
// stored a record for the requester's body.
func (t *Tally) NeverRecorded() bool {
	return t.total-t.verdicts[contract.RecordConflict] < Majority(t.total)
}
