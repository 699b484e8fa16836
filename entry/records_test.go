package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/record"
)

// slowHolder answers with a verdict after a time; a negative one is never.
type slowHolder struct {
	after   time.Duration
	verdict contract.RecordVerdict
}

// Call implements Caller.
func (h slowHolder) Call(ctx context.Context, _ contract.Message) (contract.Message, error) {
	if h.after >= 0 {
		time.Sleep(h.after)
		return &contract.RecordReply{Verdict: h.verdict}, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestAskWaitsForAQuorumAndNoLonger(t *testing.T) {
	const granted, owned, abstains = contract.RecordGranted, contract.RecordOwned, contract.RecordAbstains
	never := slowHolder{after: -1}
	cases := map[string]struct {
		holders []slowHolder
		want    record.Verdict
		took    time.Duration
	}{
		"the faster of two":          {[]slowHolder{{0, granted}, {time.Millisecond, granted}, never}, record.Granted, time.Millisecond},
		"refused by a majority":      {[]slowHolder{{0, granted}, {time.Millisecond, owned}, {2 * time.Millisecond, owned}}, record.Owned, 2 * time.Millisecond},
		"one is silent":              {[]slowHolder{{0, granted}, {time.Millisecond, abstains}, never}, record.NoQuorum, RecordTimeout},
		"a grant that comes late":    {[]slowHolder{{0, granted}, {RecordTimeout + 1, granted}, never}, record.NoQuorum, RecordTimeout},
		"one owner, the rest silent": {[]slowHolder{{0, granted}, {time.Millisecond, owned}, never}, record.Owned, RecordTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &Records{}
				for i, h := range c.holders {
					r.Holders = append(r.Holders, Holder{Host: contract.HostID(rune('a' + i)), Caller: h, Local: i == 0})
				}
				began := time.Now()
				tally := r.ask(RecordTimeout, &contract.RecordWrite{})
				must.Eq(t, c.want, tally.Final())
				must.Eq(t, c.took, time.Since(began))
				time.Sleep(2 * RecordTimeout) // until the late holders have answered
			})
		})
	}
}
