package record

import "github.com/carawaylanding/carawaylanding/contract"

// Verdict is where a quorum's answers stand.
type Verdict uint8

// The verdicts.
const (
	// Undecided means that answers are missing.
	Undecided Verdict = iota
	// Granted means that a quorum has granted.
	Granted
	// Owned means that another epoch holds the record.
	Owned
	// Conflict means that the record is for another body.
	Conflict
	// Full means that the holders have no room.
	Full
	// NoQuorum means that too few holders could be asked.
	NoQuorum
)

// Tally counts the holders' answers to one RecordWrite or RecordPrepare.
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

// Add counts a holder's answer. A nil reply is a holder that can't be asked.
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

// Verdict returns where the answers stand.
func (t *Tally) Verdict() Verdict {
	granted := t.verdicts[contract.RecordGranted]
	open := t.total - len(t.answered)
	switch {
	case granted >= Majority(t.total):
		return Granted
	case granted+open >= Majority(t.total):
		return Undecided
	}
	return t.Final()
}

// Final returns the verdict where no further answer is waited for.
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

// Owner returns the highest epoch seen in a refusal.
func (t *Tally) Owner() contract.RecordEpoch { return t.owner }

// Plan returns the placements that the granting holders know.
func (t *Tally) Plan() []contract.Placement { return t.plan }

// NeverOwned reports that no quorum can ever have held a record for the
// asker's body.
func (t *Tally) NeverOwned() bool {
	return t.total-t.verdicts[contract.RecordConflict] < Majority(t.total)
}
