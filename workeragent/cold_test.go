package workeragent

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/uplink"
)

// An announcement arrives every second or two, with less time left each time. A report
// for each would load the leader for nothing; none at all would leave a worker ranked
// as cold, or as one of another domain.
func TestOnlyChangesOfColdnessAndDomainAreReported(t *testing.T) {
	a := New(Config{Uplink: uplink.Config{Hello: contract.Hello{Host: "w"}, Log: logr.Discard()}})
	l, received := newLeaderLink(t)
	a.ctx, a.link, a.session = context.Background(), l, 7
	a.instance = &workerInstance{agent: a, id: "w", worker: contract.WorkerAnnouncement{ID: "w"}, inSession: true}
	seq := uint64(0)
	announce := func(domain string, coldLeft int64) {
		seq++
		a.HandleAnnouncement(contract.WorkerAnnouncement{ID: "w", Seq: seq, FailureDomain: domain, ColdLeftMillis: coldLeft})
	}
	reported := func() contract.WorkerAnnouncement { return (<-received).(*contract.WorkerReport).Worker }

	announce("", 60_000)
	must.Between(t, 50_000, reported().ColdLeftMillis, 60_000)
	announce("", 59_900)
	announce("", 30_000)
	must.Between(t, 20_000, reported().ColdLeftMillis, 30_000, must.Sprint("a report of time that has only gone by"))
	announce("", 0)
	must.Zero(t, reported().ColdLeftMillis)
	announce("", 100)
	announce("b", 0)
	must.Eq(t, "b", reported().FailureDomain)

	a.instance.coldUntil = coldUntil(contract.WorkerAnnouncement{ColdLeftMillis: 60_000})
	a.instance.coldUntil -= 30_000 * 1e6
	a.report(true)
	must.Between(t, 20_000, reported().ColdLeftMillis, 30_000, must.Sprint("the time since the announcement has not been taken off"))
}
