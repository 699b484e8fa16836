package record

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

var now = time.Unix(1000, 0)

// claim returns the write with which an entry claims a job's record in the first
// round.
func claim(job contract.JobID, digest string, attempt uint64, plan ...contract.Placement) *contract.RecordWrite {
	return &contract.RecordWrite{
		Job: job, Digest: digest, Plan: plan, TTL: time.Minute,
		Epoch: contract.RecordEpoch{Round: contract.FirstRound, Host: "e", Attempt: attempt},
	}
}

func TestFullHolderRefusesInsteadOfEvicting(t *testing.T) {
	h := NewHolder(Config{MaxRecords: 2, MaxPlacements: 2}, true, now)
	must.Eq(t, contract.RecordGranted, h.Write(now, claim("a", "x", 1, contract.Placement{Task: 0}, contract.Placement{Task: 1})).Verdict)
	must.Eq(t, contract.RecordGranted, h.Write(now, claim("b", "x", 2)).Verdict)
	must.Eq(t, contract.RecordFull, h.Write(now, claim("b", "x", 2, contract.Placement{})).Verdict)
	must.Eq(t, contract.RecordFull, h.Write(now, claim("c", "x", 3)).Verdict)
	must.Eq(t, contract.RecordOwned, h.Write(now, claim("a", "x", 4)).Verdict)
	must.Eq(t, contract.RecordConflict, h.Write(now, claim("a", "y", 4)).Verdict)

	later := now.Add(2 * time.Minute)
	must.Eq(t, contract.RecordGranted, h.Write(later, claim("c", "x", 3, contract.Placement{})).Verdict)
	must.Eq(t, 1, h.Len())
}

func TestRestartedHolderAbstainsUntilItsLostRecordsHaveExpired(t *testing.T) {
	h := NewHolder(Config{MaxTTL: time.Hour}, false, now)
	for elapsed, want := range map[time.Duration]contract.RecordVerdict{0: contract.RecordAbstains, time.Hour - 1: contract.RecordAbstains} {
		must.Eq(t, want, h.Write(now.Add(elapsed), claim("a", "x", 1)).Verdict)
	}
	must.False(t, h.Page(now, &contract.RecordCopy{}).Serving)
	must.Eq(t, contract.RecordGranted, h.Write(now.Add(time.Hour), claim("a", "x", 1)).Verdict)
}

func TestRecoveryNeedsAMajorityOfTheOthers(t *testing.T) {
	b, c := NewHolder(Config{}, true, now), NewHolder(Config{}, false, now)
	b.Write(now, claim("a", "x", 1, contract.Placement{Task: 3}))
	h := NewHolder(Config{}, false, now)
	r := NewRecovery(3)
	copyAll := func(from contract.HostID, source *Holder) {
		for next := r.NextRequest(from); next != nil && r.AddPage(from, source.Page(now, next)); next = r.NextRequest(from) {
		}
	}
	copyAll("b", b)
	copyAll("c", c)
	must.False(t, r.Finish(h, now))
	c.serving = true
	copyAll("c", c)
	must.True(t, r.Finish(h, now))
	got := h.Prepare(now, &contract.RecordPrepare{Job: "a", Digest: "x", Epoch: contract.RecordEpoch{Round: 2}})
	must.Eq(t, contract.RecordGranted, got.Verdict)
	must.Eq(t, []contract.Placement{{Task: 3}}, got.Plan)
}
