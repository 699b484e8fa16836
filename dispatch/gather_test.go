package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// duo is two entries that share workers, with messages delivered at once.
type duo struct {
	t       *testing.T
	now     time.Time
	pools   map[contract.HostID]*Pool
	running map[contract.HostID][]Place
	wakes   map[contract.HostID]time.Time
}

func newDuo(t *testing.T, caps ...contract.Capacity) *duo {
	d := &duo{t: t, now: testStart, pools: make(map[contract.HostID]*Pool), running: make(map[contract.HostID][]Place), wakes: make(map[contract.HostID]time.Time)}
	peers := map[contract.HostID]contract.HostID{"a": "b", "b": "a"}
	for self, peer := range peers {
		d.pools[self] = NewPool(Config{})
		d.step(self, Peers{Self: self, Peers: []contract.HostID{peer}})
	}
	for i, c := range caps {
		s := NewShares(c.Slots, i)
		w := testWorker(i, c)
		var last []Grant
		for _, id := range []contract.HostID{"a", "b"} {
			d.step(id, WorkerUp{Worker: w})
			last = s.EntryUp(id)
		}
		for _, g := range last {
			d.step(g.Entry, CreditGranted{Worker: w.Ref, Epoch: g.Epoch, Slots: g.Slots})
		}
	}
	return d
}

func (d *duo) step(id contract.HostID, ev Event) {
	for _, a := range d.pools[id].Step(d.now, ev) {
		switch a := a.(type) {
		case Place:
			d.running[id] = append(d.running[id], a)
		case Wake:
			d.wakes[id] = a.At
		case Refuse:
			d.t.Fatalf("job %s refused: %v", a.Job, a.Err)
		case Tell:
			switch m := a.Message.(type) {
			case *contract.CreditAsk:
				d.step(a.To, CreditAsked{From: id, Ask: m})
			case *contract.CreditLend:
				d.step(a.To, CreditLent{From: id, Lend: m})
			}
		}
	}
}

// pass lets a tenth of a second pass, with the wakes that were asked for.
func (d *duo) pass() {
	d.now = d.now.Add(100 * time.Millisecond)
	for _, id := range []contract.HostID{"a", "b"} {
		if at := d.wakes[id]; !at.IsZero() && !at.After(d.now) {
			d.wakes[id] = time.Time{}
			d.step(id, Tick{})
		}
	}
}

// TestGathersSlotsOfOneWorker holds that tasks that take all slots of a worker
// start though its credits are spread over the entries, also while small tasks
// keep coming through both, and while both entries gather.
func TestGathersSlotsOfOneWorker(t *testing.T) {
	const limit = 600 // tenths of a second
	cases := []struct {
		name string
		wide []contract.HostID
		busy bool
		// workers is the number of workers.
		workers int
	}{
		{"idle", []contract.HostID{"a"}, false, 2},
		{"busy", []contract.HostID{"a"}, true, 2},
		{"two", []contract.HostID{"a", "b"}, false, 2},
		{"two busy", []contract.HostID{"a", "b"}, true, 2},
		{"two at one worker", []contract.HostID{"a", "b"}, false, 1},
		{"two busy at one worker", []contract.HostID{"a", "b"}, true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDuo(t, slices.Repeat([]contract.Capacity{{Slots: 8}}, c.workers)...)
			for _, id := range c.wide {
				d.step(id, Submit{Job: "wide " + contract.JobID(id), Demands: []contract.Demand{{Slots: 8, Millis: 100}}})
			}
			open := len(c.wide)
			for n := 0; n < limit && open > 0; n++ {
				open -= d.round(n, c.busy)
			}
			must.Zero(t, open)
		})
	}
}

// round ends what runs at both entries, submits small jobs where busy, and
// returns the number of wide tasks that started.
func (d *duo) round(n int, busy bool) int {
	wide := 0
	for _, id := range []contract.HostID{"a", "b"} {
		done := d.running[id]
		d.running[id] = nil
		if busy {
			d.step(id, Submit{Job: contract.JobID(fmt.Sprint(id, n)), Demands: declared(8, 100)})
		}
		for _, p := range done {
			if strings.HasPrefix(string(p.Task.Job), "wide") {
				wide++
			}
			d.step(id, Finished{Task: p.Task, Worker: p.Worker, Elapsed: 100 * time.Millisecond})
		}
	}
	d.pass()
	return wide
}
