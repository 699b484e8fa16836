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

// entryPair holds two entries, "a" and "b", that share workers. Messages
// between them are delivered at once, and every refusal fails the test.
type entryPair struct {
	t       *testing.T
	now     time.Time
	pools   map[contract.HostID]*Pool
	running map[contract.HostID][]Place   // placed tasks of each entry
	wakes   map[contract.HostID]time.Time // requested wakes; zero if none
}

// newEntryPair returns two linked entries with workers of the given capacities,
// each of which has granted credits to both entries.
func newEntryPair(t *testing.T, caps ...contract.Capacity) *entryPair {
	e := &entryPair{t: t, now: testStart, pools: make(map[contract.HostID]*Pool), running: make(map[contract.HostID][]Place), wakes: make(map[contract.HostID]time.Time)}
	peers := map[contract.HostID]contract.HostID{"a": "b", "b": "a"}
	for self, peer := range peers {
		e.pools[self] = NewPool(Config{})
		e.step(self, PeersChanged{Self: self, Peers: []contract.HostID{peer}})
	}
	for i, c := range caps {
		shares := NewShares(c.Slots, i)
		w := testWorker(i, c)
		var grants []Grant
		for _, id := range []contract.HostID{"a", "b"} {
			e.step(id, WorkerUp{Worker: w})
			grants = shares.EntryUp(id)
		}
		for _, g := range grants {
			e.step(g.Entry, CreditGranted{Worker: w.Ref, Epoch: g.Epoch, Slots: g.Slots})
		}
	}
	return e
}

// step steps one entry's pool and performs the resulting actions.
func (e *entryPair) step(id contract.HostID, ev Event) {
	for _, a := range e.pools[id].Step(e.now, ev) {
		switch a := a.(type) {
		case Place:
			e.running[id] = append(e.running[id], a)
		case Wake:
			e.wakes[id] = a.At
		case Refuse:
			e.t.Fatalf("job %s refused: %v", a.Job, a.Err)
		case SendMessage:
			switch m := a.Message.(type) {
			case *contract.CreditAsk:
				e.step(a.To, CreditAsked{From: id, Ask: m})
			case *contract.CreditLend:
				e.step(a.To, CreditLent{From: id, Lend: m})
			}
		}
	}
}

// advance advances the time by 100 ms and delivers the requested wakes that are
// due.
func (e *entryPair) advance() {
	e.now = e.now.Add(100 * time.Millisecond)
	for _, id := range []contract.HostID{"a", "b"} {
		if at := e.wakes[id]; !at.IsZero() && !at.After(e.now) {
			e.wakes[id] = time.Time{}
			e.step(id, Tick{})
		}
	}
}

// TestWideTaskStartsDespiteSplitCredits checks that a wide task, which takes
// all slots of a worker, starts even though the worker's credits are split
// between two entries. This must also hold while small tasks keep arriving at
// both entries, and while both entries reserve a worker.
func TestWideTaskStartsDespiteSplitCredits(t *testing.T) {
	const maxRounds = 600 // of 100 ms
	cases := []struct {
		name        string
		wideEntries []contract.HostID // entries that get a wide task
		busy        bool              // small tasks keep arriving
		workers     int
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
			e := newEntryPair(t, slices.Repeat([]contract.Capacity{{Slots: 8}}, c.workers)...)
			for _, id := range c.wideEntries {
				e.step(id, Submit{Job: "wide " + contract.JobID(id), Demands: []contract.Demand{{Slots: 8, DeclaredMillis: 100}}})
			}
			unfinished := len(c.wideEntries)
			for n := 0; n < maxRounds && unfinished > 0; n++ {
				unfinished -= e.finishRunning(n, c.busy)
			}
			must.Zero(t, unfinished)
		})
	}
}

// finishRunning finishes the running tasks of both entries, if busy after
// submitting a small job at each, and advances the time. It returns the number
// of wide tasks that finished.
func (e *entryPair) finishRunning(n int, busy bool) int {
	wideFinished := 0
	for _, id := range []contract.HostID{"a", "b"} {
		running := e.running[id]
		e.running[id] = nil
		if busy {
			e.step(id, Submit{Job: contract.JobID(fmt.Sprint(id, n)), Demands: declared(8, 100)})
		}
		for _, place := range running {
			if strings.HasPrefix(string(place.Task.Job), "wide") {
				wideFinished++
			}
			e.step(id, Finished{Task: place.Task, Worker: place.Worker, Elapsed: 100 * time.Millisecond})
		}
	}
	e.advance()
	return wideFinished
}
