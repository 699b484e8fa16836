package record

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// TestNeverRecordedCountsNoContestedRecord lets a quorum store the record of one
// body, and both its holders then merge a copy for another body, as a restarted
// holder does. The body may have run, so a refusal must not say that it never did.
func TestNeverRecordedCountsNoContestedRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	tally := NewTally(3)
	for _, host := range []contract.HostID{"a", "b"} {
		h := NewHolder(Config{}, true, now)
		write := &contract.RecordWrite{Job: "j", Digest: "one", TTL: time.Minute}
		must.Eq(t, contract.RecordGranted, h.Write(now, write).Verdict)
		h.merge(now, contract.JobRecord{Job: "j", Digest: "two", TTL: time.Minute})
		tally.Add(host, h.Write(now, write))
	}
	must.Eq(t, Conflict, tally.Final())
	must.False(t, tally.NeverRecorded(), must.Sprint("a quorum had stored the record"))
}

func TestNeverRecorded(t *testing.T) {
	cases := []struct {
		verdicts []contract.RecordVerdict
		want     bool
	}{
		{[]contract.RecordVerdict{contract.RecordConflict, contract.RecordConflict}, true},
		{[]contract.RecordVerdict{contract.RecordConflict, contract.RecordContested, contract.RecordContested}, false},
		{[]contract.RecordVerdict{contract.RecordConflict, contract.RecordAbstains, contract.RecordAbstains}, false},
	}
	for _, c := range cases {
		tally := NewTally(3)
		for i, v := range c.verdicts {
			tally.Add(contract.HostID(rune('a'+i)), &contract.RecordReply{Verdict: v})
		}
		must.Eq(t, c.want, tally.NeverRecorded(), must.Sprintf("%v", c.verdicts))
	}
}
