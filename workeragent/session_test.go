package workeragent

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/contract"
)

type noClient struct{ WorkerClient }

// TestLeaseIsShort checks the bound of the time for which the tasks of a worker that
// went silent can't start elsewhere: whatever the worker and the leader grant, a lease
// lasts no longer than leaseDuration, nor than the leader's authority.
func TestLeaseIsShort(t *testing.T) {
	cases := []struct {
		maxLease, authority, want time.Duration
	}{
		{time.Second, 850 * time.Millisecond, leaseDuration},
		{time.Minute, time.Minute, leaseDuration},
		{time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
		{200 * time.Millisecond, 850 * time.Millisecond, 200 * time.Millisecond},
	}
	for _, c := range cases {
		a := &Agent{ctx: context.Background(), cfg: Config{
			Lease: c.maxLease, MaxLease: c.maxLease,
			Connect: func(contract.WorkerAnnouncement) WorkerClient { return noClient{} },
		}}
		w := newWorkerInstance(a, contract.WorkerAnnouncement{ID: "w"})
		w.setClock(1000)
		a.authorityEnd = boottime.Now() + c.authority
		lease := time.Duration(w.nextLeaseEndMS()-w.workerNowMS()) * time.Millisecond
		must.LessEq(t, c.want, lease)
		must.Positive(t, lease)
	}
}
