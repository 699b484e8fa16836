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

// slowHolder replies with a verdict after a delay, or never if the delay is
// negative.
type slowHolder struct {
	delay   time.Duration
	verdict contract.RecordVerdict
}

// Call implements Caller.
func (h slowHolder) Call(ctx context.Context, _ contract.Message) (contract.Message, error) {
	if h.delay >= 0 {
		time.Sleep(h.delay)
		return &contract.RecordReply{Verdict: h.verdict}, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestQueryHoldersReturnsOnceDecided checks that a query of the holders returns
// as soon as the verdict is decided, and ignores replies after RecordTimeout.
func TestQueryHoldersReturnsOnceDecided(t *testing.T) {
	const granted, owned, abstains = contract.RecordGranted, contract.RecordOwned, contract.RecordAbstains
	never := slowHolder{delay: -1}
	cases := map[string]struct {
		holders []slowHolder
		want    record.Verdict
		elapsed time.Duration
	}{
		"granted by a majority":     {[]slowHolder{{0, granted}, {time.Millisecond, granted}, never}, record.Granted, time.Millisecond},
		"refused by a majority":     {[]slowHolder{{0, granted}, {time.Millisecond, owned}, {2 * time.Millisecond, owned}}, record.Owned, 2 * time.Millisecond},
		"one doesn't reply":         {[]slowHolder{{0, granted}, {time.Millisecond, abstains}, never}, record.NoQuorum, RecordTimeout},
		"a grant after the timeout": {[]slowHolder{{0, granted}, {RecordTimeout + 1, granted}, never}, record.NoQuorum, RecordTimeout},
		"one refusal, no quorum":    {[]slowHolder{{0, granted}, {time.Millisecond, owned}, never}, record.Owned, RecordTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &RecordClient{}
				for i, h := range c.holders {
					r.Holders = append(r.Holders, RecordHolder{Host: contract.HostID(rune('a' + i)), Caller: h, Local: i == 0})
				}
				began := time.Now()
				tally := r.queryHolders(RecordTimeout, &contract.RecordWrite{})
				must.Eq(t, c.want, tally.Final())
				must.Eq(t, c.elapsed, time.Since(began))
				time.Sleep(2 * RecordTimeout) // wait for the replies after the timeout
			})
		})
	}
}
