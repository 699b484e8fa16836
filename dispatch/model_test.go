package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// model drives the pools of several entries that share workers with random
// events, and checks their invariants after each event.
type model struct {
	pools       map[contract.HostID]*Pool
	entries     []contract.HostID
	caps        []contract.Capacity // by worker
	shares      []*Shares           // by worker
	now         time.Time
	undelivered []func() // each delivers one message
	jobs        map[contract.JobID]*modelJob
	jobCount    int
	quota       int // of team "t", in slots
	// flapped reports whether a link has been down. The tasks that were placed
	// before may then exceed the new split of the slots, and the worker queues
	// tasks for which it has no free slot.
	flapped bool
}

// modelJob is the expected state of one job.
type modelJob struct {
	entry   contract.HostID
	tasks   []modelTask
	ended   bool // refused or withdrawn
	demands []contract.Demand
}

// modelTask is the expected state of one task.
type modelTask struct {
	worker   host.Ref // where it was placed last
	placed   bool
	finished bool
}

// perform applies the actions of one entry's pool to the model.
func (m *model) perform(t *rapid.T, id contract.HostID, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Place:
			j := m.jobs[a.Task.Job]
			task := &j.tasks[a.Task.Index]
			if task.placed || task.finished || j.ended {
				t.Fatalf("task %v placed twice or after its end", a.Task)
			}
			task.placed = true
			task.worker = a.Worker
		case Refuse:
			j := m.jobs[a.Job]
			for _, task := range j.tasks {
				if task.placed || task.finished {
					t.Fatalf("job %v refused after a start", a.Job)
				}
			}
			j.ended = true
		case SendMessage:
			to := a.To
			m.undelivered = append(m.undelivered, func() { m.deliver(t, id, to, a.Message) })
		}
	}
}

// deliver delivers a message between two entries.
func (m *model) deliver(t *rapid.T, from, to contract.HostID, msg contract.Message) {
	switch msg := msg.(type) {
	case *contract.CreditAsk:
		m.step(t, to, CreditAsked{From: from, Ask: msg})
	case *contract.CreditLend:
		m.step(t, to, CreditLent{From: from, Lend: msg})
	case *contract.WorkerSuspect:
		m.step(t, to, WorkerSuspected{From: from, Suspect: msg})
	}
}

// step steps one entry's pool and performs the resulting actions.
func (m *model) step(t *rapid.T, id contract.HostID, ev Event) {
	m.perform(t, id, m.pools[id].Step(m.now, ev))
}

// check checks that no task is lost, that no worker's slots and no team's quota
// are exceeded, and that no pool counts negative credits or slots in use.
func (m *model) check(t *rapid.T) {
	used := make(map[host.Ref]int)
	teamUsed := 0
	for id, j := range m.jobs {
		state := m.pools[j.entry].jobs[id]
		for i, task := range j.tasks {
			if task.placed {
				used[task.worker] += j.demands[i].Normalized().Slots
				teamUsed += j.demands[i].Normalized().Slots
			}
			if !task.placed && !task.finished && !j.ended && state == nil {
				t.Fatalf("task %d of %v is lost", i, id)
			}
		}
	}
	for i, c := range m.caps {
		if n := used[testWorker(i, c).Ref]; n > c.Slots && !m.flapped {
			t.Fatalf("worker %d has %d of %d slots in use", i, n, c.Slots)
		}
	}
	if teamUsed > m.quota {
		t.Fatalf("the team uses %d slots, more than its quota of %d", teamUsed, m.quota)
	}
	for id, p := range m.pools {
		for _, w := range p.workers.byRef {
			if w.credits < 0 || w.used.Slots < 0 {
				t.Fatalf("entry %s has %d credits and %d slots in use at worker %s: neither may be negative", id, w.credits, w.used.Slots, w.Host)
			}
		}
	}
}

// newModel returns a model of three linked entries and four workers, each of
// which has granted credits to all entries.
func newModel(t *rapid.T) *model {
	m := &model{pools: make(map[contract.HostID]*Pool), entries: []contract.HostID{"a", "b", "c"}, now: testStart, jobs: make(map[contract.JobID]*modelJob), quota: 5}
	row := contract.Pool{Name: "p", Quotas: []contract.Quota{{Team: "t", Slots: m.quota}}}
	for _, id := range m.entries {
		m.pools[id] = NewPool(Config{Name: "p", Quotas: row.Quotas})
	}
	for _, id := range m.entries {
		var peers []contract.HostID
		for _, o := range m.entries {
			if o != id {
				peers = append(peers, o)
			}
		}
		m.step(t, id, PeersChanged{Self: id, Peers: peers})
	}
	for i := range 4 {
		c := contract.Capacity{Slots: 1 + i}
		m.caps = append(m.caps, c)
		s := NewShares(c.Slots, i)
		m.shares = append(m.shares, s)
		var grants []Grant
		for _, id := range m.entries {
			m.step(t, id, WorkerUp{Worker: testWorker(i, c)})
			grants = s.EntryUp(id)
		}
		m.grant(t, testWorker(i, c), grants)
	}
	return m
}

// flapLink takes the link between an entry and worker i down and up again.
func (m *model) flapLink(t *rapid.T, entry contract.HostID, i int) {
	m.flapped = true
	w := testWorker(i, m.caps[i])
	running := 0
	for _, j := range m.jobs {
		for n, task := range j.tasks {
			if task.placed && task.worker == w.Ref && j.entry == entry {
				running += j.demands[n].Normalized().Slots
			}
		}
	}
	m.step(t, entry, WorkerDown{Worker: w.Ref})
	m.grant(t, w, m.shares[i].EntryDown(entry, running))
	m.step(t, entry, WorkerUp{Worker: w})
	m.grant(t, w, m.shares[i].EntryUp(entry))
}

// grant delivers a worker's grants to the entries.
func (m *model) grant(t *rapid.T, w host.Worker, grants []Grant) {
	for _, g := range grants {
		m.step(t, g.Entry, CreditGranted{Worker: w.Ref, Epoch: g.Epoch, Slots: g.Slots})
	}
}

// drawPlaced returns a placed task drawn at random, with its entry and worker.
// It skips the action if there is none.
func (m *model) drawPlaced(t *rapid.T) (contract.HostID, contract.TaskID, host.Ref) {
	var ids []contract.TaskID
	for n := range m.jobCount {
		id := contract.JobID(fmt.Sprint("j", n))
		for i, task := range m.jobs[id].tasks {
			if task.placed {
				ids = append(ids, contract.TaskID{Job: id, Index: uint32(i)})
			}
		}
	}
	if len(ids) == 0 {
		t.Skip("nothing is placed")
	}
	id := rapid.SampledFrom(ids).Draw(t, "task")
	j := m.jobs[id.Job]
	return j.entry, id, j.tasks[id.Index].worker
}

// TestRandomHistories checks the invariants of model.check under random
// sequences of events, in which messages are reordered and lost and links fail.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"submit": func(t *rapid.T) {
				entry := rapid.SampledFrom(m.entries).Draw(t, "entry")
				j := &modelJob{entry: entry}
				for range rapid.IntRange(1, 6).Draw(t, "tasks") {
					d := contract.Demand{Slots: rapid.IntRange(0, 5).Draw(t, "slots"), DeclaredMillis: 100}
					j.demands = append(j.demands, d)
				}
				j.tasks = make([]modelTask, len(j.demands))
				id := contract.JobID(fmt.Sprint("j", m.jobCount))
				m.jobCount++
				m.jobs[id] = j
				deadline := m.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second)
				m.step(t, entry, Submit{Job: id, Team: "t", Route: "r", Deadline: deadline, Demands: j.demands})
			},
			"finish": func(t *rapid.T) {
				entry, id, worker := m.drawPlaced(t)
				task := &m.jobs[id.Job].tasks[id.Index]
				task.placed, task.finished = false, true
				m.step(t, entry, Finished{Task: id, Worker: worker, Elapsed: time.Millisecond, Failed: rapid.Bool().Draw(t, "failed")})
			},
			"requeue": func(t *rapid.T) {
				entry, id, worker := m.drawPlaced(t)
				j := m.jobs[id.Job]
				j.tasks[id.Index].placed = false
				j.tasks[id.Index].finished = j.ended
				m.step(t, entry, Requeue{Task: id, Worker: worker})
			},
			"withdraw": func(t *rapid.T) {
				if m.jobCount == 0 {
					t.Skip("no job")
				}
				id := contract.JobID(fmt.Sprint("j", rapid.IntRange(0, m.jobCount-1).Draw(t, "job")))
				m.jobs[id].ended = true
				m.step(t, m.jobs[id].entry, Withdraw{Job: id})
			},
			"deliver": func(t *rapid.T) {
				if len(m.undelivered) == 0 {
					t.Skip("no message")
				}
				i := rapid.IntRange(0, len(m.undelivered)-1).Draw(t, "message")
				deliver := m.undelivered[i]
				m.undelivered = append(m.undelivered[:i:i], m.undelivered[i+1:]...)
				deliver()
			},
			"lose": func(t *rapid.T) {
				if len(m.undelivered) == 0 {
					t.Skip("no message")
				}
				i := rapid.IntRange(0, len(m.undelivered)-1).Draw(t, "message")
				m.undelivered = append(m.undelivered[:i:i], m.undelivered[i+1:]...)
			},
			"unknown": func(t *rapid.T) {
				id := rapid.SampledFrom(m.entries).Draw(t, "entry")
				m.step(t, id, Finished{Task: contract.TaskID{Job: "none", Index: 3}, Worker: host.Ref{Host: "none"}})
				m.step(t, id, Requeue{Task: contract.TaskID{Job: "j0", Index: 99}})
				m.step(t, id, WorkerDown{Worker: host.Ref{Host: "none"}})
				m.step(t, id, CreditGranted{Worker: host.Ref{Host: "none"}, Epoch: 9, Slots: 9})
			},
			"flap": func(t *rapid.T) {
				entry := rapid.SampledFrom(m.entries).Draw(t, "entry")
				m.flapLink(t, entry, rapid.IntRange(0, len(m.caps)-1).Draw(t, "worker"))
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				for _, id := range m.entries {
					m.step(t, id, Tick{})
				}
			},
		})
	})
}
