package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/internal/crowd"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

// The limits of the processes under test, which are those of a daemon without settings of
// its own: each must stay within them, whatever its clients do.
const (
	unrulyMemoryMB    = 512
	unrulyMaxFiles    = 1024
	unrulyHeaderBytes = 64 << 10
	unrulyJobBytes    = 16 << 20
	unrulyEditBytes   = 8 << 20
)

// The crowds: the number of clients that are there at the same time.
const (
	crowdOfConnections = 768
	crowdOfJobs        = 48
	crowdOfEdits       = 96
	// crowdOfEndless is the crowd whose clients send something that has no end.
	crowdOfEndless = 128
	// crowdOfObjects is the crowd whose bodies consist of as many objects as fit.
	crowdOfObjects = 6
	// unrulyEndless is what a client sends of something that has no end, in bytes.
	unrulyEndless = 2_000_000
	unrulyPieces  = 8
)

// checkLimits fails the test if a daemon has ended or has exceeded its limits.
func (s *system) checkLimits(t *testing.T) {
	t.Helper()
	for _, p := range append(append([]*testbed.Process{}, s.Hubs...), s.Agents...) {
		peak, err := crowd.PeakMemory(p.PID())
		if err != nil {
			t.Errorf("%s has ended: %v", p.Name, err)
			continue
		}
		files, err := crowd.OpenFiles(p.PID())
		must.NoError(t, err)
		t.Logf("%s: %d MB at the peak, %d descriptors", p.Name, peak>>20, files)
		if peak > unrulyMemoryMB<<20 {
			t.Errorf("%s has used %d MB, its limit is %d MB", p.Name, peak>>20, unrulyMemoryMB)
		}
		if files > unrulyMaxFiles {
			t.Errorf("%s has %d descriptors open, its limit is %d", p.Name, files, unrulyMaxFiles)
		}
	}
}

// awaitOrdinary sends a request on a connection of its own until it is answered with 200.
func (s *system) awaitOrdinary(t *testing.T, method, addr, path, body string) {
	t.Helper()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	must.NoError(t, testbed.Await(s.ctx, func() error {
		time.Sleep(100 * time.Millisecond)
		r, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
		if err != nil {
			return err
		}
		res, err := client.Do(r)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		text, err := io.ReadAll(io.LimitReader(res.Body, 1<<10))
		if err == nil && res.StatusCode != http.StatusOK {
			err = fmt.Errorf("%s: %s", res.Status, text)
		}
		return err
	}), must.Sprint("an ordinary request is not served"))
}

// unrulyCase is one kind of client.
type unrulyCase struct {
	name   string
	size   int
	client crowd.Client
	// whole says that the clients send whole requests, and await answers.
	whole bool
}

// play plays the case at the listener, while it stays sends ordinary requests, and checks
// the limits.
func (c unrulyCase) play(t *testing.T, s *system, addr string, ordinary func()) {
	members := crowd.Gather(addr, c.size, c.client)
	defer members.Leave()
	s.checkLimits(t)
	ordinary()
	if c.whole {
		members.AwaitAnswers(20 * time.Second)
	}
	s.checkLimits(t)
}

// ordinaryJob is a job of an ordinary caller.
const ordinaryJob = `{"route":"cards","team":"salons","deadline_ms":5000,"tasks":[{"payload":{"work_ms":1}}]}`

// largeJob is a job of the largest size, with tasks that take a second each.
func largeJob() string {
	const tasks, frame = 16, 200
	pad := strings.Repeat("x", (unrulyJobBytes-tasks*frame)/tasks)
	task := `{"payload":{"work_ms":1000,"pad":"` + pad + `"}}`
	return `{"route":"cards","team":"crowd","deadline_ms":20000,"tasks":[` + strings.Repeat(task+",", tasks-1) + task + `]}`
}

// manyTasks is a body of the largest size that is no job, of as many objects as fit.
func manyTasks() string {
	return `{"route":"cards","team":"crowd","tasks":[` + strings.Repeat(`{},`, unrulyJobBytes/3-100) + `{}]}`
}

// TestUnrulyCallersOfAnEntry plays clients that misuse the listener of an entry for callers.
// All processes must stay within their limits, and ordinary callers must get answers
// meanwhile.
func TestUnrulyCallersOfAnEntry(t *testing.T) {
	request := func(path, header string) crowd.Request {
		return crowd.Request{Method: http.MethodPost, Host: "desk", Header: header, Path: func(int) string { return path }}
	}
	single, jobs := request("/cards/1", ""), request("/v1/jobs", "")
	large := largeJob()
	cases := []unrulyCase{
		{name: "many-header-lines", size: crowdOfConnections, client: crowd.ManyHeaderLines(single, unrulyHeaderBytes)},
		{name: "endless-head", size: crowdOfEndless, client: crowd.EndlessHead(single, unrulyEndless)},
		{name: "endless-line", size: crowdOfEndless, client: crowd.EndlessLine(single, unrulyEndless)},
		{name: "empty-lines", size: crowdOfEndless, client: crowd.EmptyLines(unrulyEndless)},
		{name: "stalled-singles", size: crowdOfConnections, client: crowd.StalledBody(single, strings.Repeat(" ", 60<<10), 1)},
		{name: "stalled-jobs", size: crowdOfJobs, client: crowd.StalledBody(jobs, large, unrulyPieces)},
		{name: "stalled-chunks", size: crowdOfJobs, client: crowd.StalledChunks(jobs, large, unrulyPieces)},
		{name: "whole-jobs", size: crowdOfJobs, client: crowd.WholeBody(jobs, large), whole: true},
		{name: "whole-keyed-jobs", size: crowdOfJobs, whole: true, client: func(w io.Writer, n int) error {
			return crowd.WholeBody(request("/v1/jobs", fmt.Sprintf("Idempotency-Key: crowd-%d\r\n", n)), large)(w, n)
		}},
		{name: "whole-many-tasks", size: crowdOfObjects, client: crowd.WholeBody(jobs, manyTasks()), whole: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t)
			c.play(t, s, s.Hubs[0].HTTP, func() {
				s.awaitOrdinary(t, http.MethodPost, s.Hubs[0].HTTP, "/v1/jobs", ordinaryJob)
			})
		})
	}
}

// TestUnrulyOperatorsOfAnEntry does so at the listener for operators.
func TestUnrulyOperatorsOfAnEntry(t *testing.T) {
	edits := crowd.Request{Method: http.MethodPost, Host: "admin", Path: func(int) string { return "/admin/edits" }}
	emptyRows := `{"id":"x","put_routes":[` + strings.Repeat(`{},`, unrulyEditBytes/3-100) + `{}]}`
	cases := []unrulyCase{
		{name: "many-header-lines", size: crowdOfConnections, client: crowd.ManyHeaderLines(edits, unrulyHeaderBytes)},
		{name: "endless-head", size: crowdOfEndless, client: crowd.EndlessHead(edits, unrulyEndless)},
		{name: "stalled-bodies", size: crowdOfEdits, client: crowd.StalledBody(edits, strings.Repeat(" ", unrulyEditBytes), unrulyPieces)},
		{name: "whole-bodies", size: crowdOfObjects, client: crowd.WholeBody(edits, emptyRows), whole: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t)
			c.play(t, s, s.Hubs[0].Admin, func() {
				s.awaitOrdinary(t, http.MethodGet, s.Hubs[0].Admin, "/admin/status", "")
				s.awaitOrdinary(t, http.MethodPost, s.Hubs[0].HTTP, "/v1/jobs", ordinaryJob)
			})
		})
	}
}

// TestUnrulyNeighboursOfAnAgent does so at the listener of an agent for single requests of
// entries.
func TestUnrulyNeighboursOfAnAgent(t *testing.T) {
	singles := crowd.Request{Method: http.MethodPost, Host: "agent", Path: func(int) string { return "/cards/1" }}
	cases := []unrulyCase{
		{name: "many-header-lines", size: crowdOfConnections, client: crowd.ManyHeaderLines(singles, unrulyHeaderBytes)},
		{name: "endless-head", size: crowdOfEndless, client: crowd.EndlessHead(singles, unrulyEndless)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t)
			c.play(t, s, s.Agents[0].HTTP, func() {
				for range testWorkers {
					s.awaitOrdinary(t, http.MethodPost, s.Hubs[0].HTTP, "/cards/1", `{"work_ms":1}`)
				}
			})
		})
	}
}
