package record

import "github.com/carawaylanding/carawaylanding/contract"

// Verdict is the combined result of the holders' replies to a request.
type Verdict uint8

// The verdicts of a Tally.
const (
	// Undecided means that no quorum has granted the request yet, but one still can.
	Undecided Verdict = iota
	// Granted means that a quorum has granted the request.
	Granted
	// Owned means that another epoch owns the record.
	Owned
	// Conflict means that the record is of a job with a different body.
	Conflict
	// Full means that a holder has reached one of its limits.
	Full
	// NoQuorum means that too few holders replied with a vote.
	NoQuorum
)

// Tally counts the holders' replies to one RecordWrite or RecordPrepare request.
type Tally struct {
	holderCount int
	counted     map[contract.HostID]bool       // holders for which Add was called
	verdicts    map[contract.RecordVerdict]int // number of replies by verdict
	owner       contract.RecordEpoch           // highest epoch in the refusals
	plan        plan                           // union of the plans in the grants
}

// NewTally returns the tally of a request to n holders.
func NewTally(n int) *Tally {
	return &Tally{
		holderCount: n,
		counted:     make(map[contract.HostID]bool, n),
		verdicts:    make(map[contract.RecordVerdict]int),
	}
}

// Add counts a holder's reply. A nil reply means that the holder gave none. Only
// the first call for a holder counts.
func (t *Tally) Add(from contract.HostID, r *contract.RecordReply) {
	if t.counted[from] {
		return
	}
	t.counted[from] = true
	if r == nil {
		return
	}
	t.verdicts[r.Verdict]++
	switch r.Verdict {
	case contract.RecordGranted:
		t.plan.add(r.Plan)
	case contract.RecordOwned, contract.RecordConflict, contract.RecordContested:
		if t.owner.Less(r.Promised) {
			t.owner = r.Promised
		}
	}
}

// Verdict returns the verdict of the replies so far.
func (t *Tally) Verdict() Verdict {
	granted := t.verdicts[contract.RecordGranted]
	pending := t.holderCount - len(t.counted)
	switch {
	case granted >= Majority(t.holderCount):
		return Granted
	case granted+pending >= Majority(t.holderCount):
		return Undecided
	}
	return t.Final()
}

// Final returns the verdict when no more replies are expected. It is never
// Undecided. Without a quorum of grants, one Conflict is enough for that verdict,
// then one Owned, then one Full.
func (t *Tally) Final() Verdict {
	switch {
	case t.verdicts[contract.RecordGranted] >= Majority(t.holderCount):
		return Granted
	case t.verdicts[contract.RecordConflict] > 0, t.verdicts[contract.RecordContested] > 0:
		return Conflict
	case t.verdicts[contract.RecordOwned] > 0:
		return Owned
	case t.verdicts[contract.RecordFull] > 0:
		return Full
	}
	return NoQuorum
}

// Owner returns the highest epoch that a refusal named as the record's owner, or
// the zero epoch if there was no such refusal.
func (t *Tally) Owner() contract.RecordEpoch { return t.owner }

// Plan returns all placements in the replies of the holders that granted the
// request.
func (t *Tally) Plan() []contract.Placement { return t.plan }

// NeverRecorded reports whether so many holders have a record of another body that
// the others are fewer than a quorum. No quorum can then have stored a record for the
// body of this request. A contested record does not count: one of the copies that it
// was merged from may have been for this body.
func (t *Tally) NeverRecorded() bool {
	return t.holderCount-t.verdicts[contract.RecordConflict] < Majority(t.holderCount)
}
