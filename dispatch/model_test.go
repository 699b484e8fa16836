package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// model drives several pools against one set of workers with random events,
// and checks what must hold after each.
type model struct {
	pools  map[contract.HostID]*Pool
	ids    []contract.HostID
	caps   []contract.Capacity
	shares []*Shares
	now    time.Time
	mail   []func()
	jobs   map[contract.JobID]*modelJob
	n      int
	quota  int
	// flapped says that a link went down: what ran then may exceed the new
	// split of the slots, and waits at the worker.
	flapped bool
}

type modelJob struct {
	entry   contract.HostID
	tasks   []modelTask
	ended   bool
	demands []contract.Demand
}

type modelTask struct {
	at   host.Ref
	live bool
	done bool
}

func (m *model) perform(t *rapid.T, id contract.HostID, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Place:
			j := m.jobs[a.Task.Job]
			task := &j.tasks[a.Task.Index]
			if task.live || task.done || j.ended {
				t.Fatalf("task %v placed twice or after its end", a.Task)
			}
			task.live = true
			task.at = a.Worker
		case Refuse:
			j := m.jobs[a.Job]
			for _, task := range j.tasks {
				if task.live || task.done {
					t.Fatalf("job %v refused after a start", a.Job)
				}
			}
			j.ended = true
		case Tell:
			to := a.To
			m.mail = append(m.mail, func() { m.deliver(t, id, to, a.Message) })
		}
	}
}

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

func (m *model) step(t *rapid.T, id contract.HostID, ev Event) {
	m.perform(t, id, m.pools[id].Step(m.now, ev))
}

// check compares what the model knows with the pools.
func (m *model) check(t *rapid.T) {
	used := make(map[host.Ref]int)
	team := 0
	for id, j := range m.jobs {
		waiting := m.pools[j.entry].jobs[id]
		for i, task := range j.tasks {
			if task.live {
				used[task.at] += j.demands[i].Normalized().Slots
				team += j.demands[i].Normalized().Slots
			}
			if !task.live && !task.done && !j.ended && waiting == nil {
				t.Fatalf("task %d of %v is lost", i, id)
			}
		}
	}
	for i, c := range m.caps {
		if n := used[testWorker(i, c).Ref]; n > c.Slots && !m.flapped {
			t.Fatalf("worker %d has %d of %d slots in use", i, n, c.Slots)
		}
	}
	if team > m.quota {
		t.Fatalf("the team uses %d slots, and its quota is %d", team, m.quota)
	}
	for id, p := range m.pools {
		for _, w := range p.workers.byRef {
			if w.allot < 0 || w.used.Slots < 0 {
				t.Fatalf("entry %s counts %d credits and %d slots in use at %s", id, w.allot, w.used.Slots, w.Host)
			}
		}
	}
}

func newModel(t *rapid.T) *model {
	m := &model{pools: make(map[contract.HostID]*Pool), ids: []contract.HostID{"a", "b", "c"}, now: testStart, jobs: make(map[contract.JobID]*modelJob), quota: 5}
	row := contract.Pool{Name: "p", Quotas: []contract.Quota{{Team: "t", Slots: m.quota}}}
	for _, id := range m.ids {
		m.pools[id] = NewPool(Config{Name: "p", Quotas: row.Quotas})
	}
	for _, id := range m.ids {
		var peers []contract.HostID
		for _, o := range m.ids {
			if o != id {
				peers = append(peers, o)
			}
		}
		m.step(t, id, Peers{Self: id, Peers: peers})
	}
	for i := range 4 {
		c := contract.Capacity{Slots: 1 + i}
		m.caps = append(m.caps, c)
		s := NewShares(c.Slots, i)
		m.shares = append(m.shares, s)
		var last []Grant
		for _, id := range m.ids {
			m.step(t, id, WorkerUp{Worker: testWorker(i, c)})
			last = s.EntryUp(id)
		}
		m.grant(t, testWorker(i, c), last)
	}
	return m
}

// flap takes one link between an entry and a worker down and up again.
func (m *model) flap(t *rapid.T, entry contract.HostID, i int) {
	m.flapped = true
	w := testWorker(i, m.caps[i])
	running := 0
	for _, j := range m.jobs {
		for n, task := range j.tasks {
			if task.live && task.at == w.Ref && j.entry == entry {
				running += j.demands[n].Normalized().Slots
			}
		}
	}
	m.step(t, entry, WorkerDown{Worker: w.Ref})
	m.grant(t, w, m.shares[i].EntryDown(entry, running))
	m.step(t, entry, WorkerUp{Worker: w})
	m.grant(t, w, m.shares[i].EntryUp(entry))
}

func (m *model) grant(t *rapid.T, w host.Worker, grants []Grant) {
	for _, g := range grants {
		m.step(t, g.Entry, CreditGranted{Worker: w.Ref, Epoch: g.Epoch, Slots: g.Slots})
	}
}

// live returns a placed task drawn at random.
func (m *model) live(t *rapid.T) (contract.HostID, contract.TaskID, host.Ref) {
	var ids []contract.TaskID
	for n := range m.n {
		id := contract.JobID(fmt.Sprint("j", n))
		for i, task := range m.jobs[id].tasks {
			if task.live {
				ids = append(ids, contract.TaskID{Job: id, Index: uint32(i)})
			}
		}
	}
	if len(ids) == 0 {
		t.Skip("nothing is placed")
	}
	id := rapid.SampledFrom(ids).Draw(t, "task")
	j := m.jobs[id.Job]
	return j.entry, id, j.tasks[id.Index].at
}

func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"submit": func(t *rapid.T) {
				entry := rapid.SampledFrom(m.ids).Draw(t, "entry")
				j := &modelJob{entry: entry}
				for range rapid.IntRange(1, 6).Draw(t, "tasks") {
					d := contract.Demand{Slots: rapid.IntRange(0, 5).Draw(t, "slots"), Millis: 100}
					j.demands = append(j.demands, d)
				}
				j.tasks = make([]modelTask, len(j.demands))
				id := contract.JobID(fmt.Sprint("j", m.n))
				m.n++
				m.jobs[id] = j
				deadline := m.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second)
				m.step(t, entry, Submit{Job: id, Team: "t", Route: "r", Deadline: deadline, Demands: j.demands})
			},
			"finish": func(t *rapid.T) {
				entry, id, at := m.live(t)
				task := &m.jobs[id.Job].tasks[id.Index]
				task.live, task.done = false, true
				m.step(t, entry, Finished{Task: id, Worker: at, Elapsed: time.Millisecond, Failed: rapid.Bool().Draw(t, "failed")})
			},
			"requeue": func(t *rapid.T) {
				entry, id, at := m.live(t)
				j := m.jobs[id.Job]
				j.tasks[id.Index].live = false
				j.tasks[id.Index].done = j.ended
				m.step(t, entry, Requeue{Task: id, Worker: at})
			},
			"withdraw": func(t *rapid.T) {
				if m.n == 0 {
					t.Skip("no job")
				}
				id := contract.JobID(fmt.Sprint("j", rapid.IntRange(0, m.n-1).Draw(t, "job")))
				m.jobs[id].ended = true
				m.step(t, m.jobs[id].entry, Withdraw{Job: id})
			},
			"deliver": func(t *rapid.T) {
				if len(m.mail) == 0 {
					t.Skip("no message")
				}
				i := rapid.IntRange(0, len(m.mail)-1).Draw(t, "message")
				f := m.mail[i]
				m.mail = append(m.mail[:i:i], m.mail[i+1:]...)
				f()
			},
			"lose": func(t *rapid.T) {
				if len(m.mail) == 0 {
					t.Skip("no message")
				}
				i := rapid.IntRange(0, len(m.mail)-1).Draw(t, "message")
				m.mail = append(m.mail[:i:i], m.mail[i+1:]...)
			},
			"unknown": func(t *rapid.T) {
				id := rapid.SampledFrom(m.ids).Draw(t, "entry")
				m.step(t, id, Finished{Task: contract.TaskID{Job: "none", Index: 3}, Worker: host.Ref{Host: "none"}})
				m.step(t, id, Requeue{Task: contract.TaskID{Job: "j0", Index: 99}})
				m.step(t, id, WorkerDown{Worker: host.Ref{Host: "none"}})
				m.step(t, id, CreditGranted{Worker: host.Ref{Host: "none"}, Epoch: 9, Slots: 9})
			},
			"flap": func(t *rapid.T) {
				entry := rapid.SampledFrom(m.ids).Draw(t, "entry")
				m.flap(t, entry, rapid.IntRange(0, len(m.caps)-1).Draw(t, "worker"))
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				for _, id := range m.ids {
					m.step(t, id, Tick{})
				}
			},
		})
	})
}
