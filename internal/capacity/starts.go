package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/internal/procuse"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

const (
	startWorkers = 6
	startSlots   = 64
	jobTasks     = 50
	startWindow  = 6 * time.Second
)

// startRates are the task starts a second.
var startRates = []int{500, 1500, 3000}

// startSlopes measures what a task start costs the entry and the agent, from
// the caller's request to its answer.
func startSlopes(ctx context.Context, bin, dir string) ([]slope, error) {
	sys, err := startSystem(ctx, bin, dir, testbed.Plan{
		Domains: []string{"north", "east"}, Hubs: 1, Workers: startWorkers, Slots: startSlots, Pools: []string{benchPool},
	})
	if err != nil {
		return nil, err
	}
	defer sys.Close()
	time.Sleep(settleTime)
	var entryCPU, agentCPU, traffic []point
	for _, perSecond := range startRates {
		entry, agents, done, err := driveStarts(ctx, sys, perSecond)
		if err != nil {
			return nil, err
		}
		entryCPU = append(entryCPU, point{done, entry.CPU})
		agentCPU = append(agentCPU, point{done / startWorkers, agents.CPU / startWorkers})
		traffic = append(traffic, point{done, entry.Bytes})
	}
	return collect(
		slopeOf("entry processor time", "start/s", "core share", entryCPU),
		slopeOf("agent processor time", "start/s", "core share", agentCPU),
		slopeOf("entry link traffic", "start/s", "bytes/s", traffic),
	)
}

// driveStarts sends jobs at a fixed rate, open loop, and returns what the
// entry and all agents used a second, with the starts a second that were
// answered whole.
func driveStarts(ctx context.Context, sys *testbed.System, perSecond int) (entry, agents procuse.Rate, done float64, err error) {
	body, err := jobBody()
	if err != nil {
		return procuse.Rate{}, procuse.Rate{}, 0, err
	}
	before, err := readAll(sys)
	if err != nil {
		return procuse.Rate{}, procuse.Rate{}, 0, err
	}
	whole, err := sendJobs(ctx, sys.Hubs[0].HTTP, body, perSecond)
	if err != nil {
		return procuse.Rate{}, procuse.Rate{}, 0, err
	}
	after, err := readAll(sys)
	if err != nil {
		return procuse.Rate{}, procuse.Rate{}, 0, err
	}
	entry = procuse.Between(before[0], after[0])
	for i := range before[1:] {
		agents.CPU += procuse.Between(before[i+1], after[i+1]).CPU
	}
	return entry, agents, float64(whole*jobTasks) / after[0].At.Sub(before[0].At).Seconds(), nil
}

func jobBody() ([]byte, error) {
	spec := contract.JobSpec{Route: benchRoute, Team: "bench"}
	payload, err := json.Marshal(map[string]string{"echo": string(bytes.Repeat([]byte("x"), payloadBytes))})
	if err != nil {
		return nil, err
	}
	for range jobTasks {
		spec.Tasks = append(spec.Tasks, contract.TaskSpec{Payload: payload})
	}
	return json.Marshal(spec)
}

// readAll reads the entry's use, then each agent's.
func readAll(sys *testbed.System) ([]procuse.Usage, error) {
	u, err := procuse.Read(sys.Hubs[0].PID(), sys.Hubs[0].Admin)
	if err != nil {
		return nil, err
	}
	out := []procuse.Usage{u}
	for _, a := range sys.Agents {
		u, err := procuse.Read(a.PID(), "")
		if err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	return out, nil
}

// sendJobs returns the number of jobs answered whole; any other answer is an
// error.
func sendJobs(ctx context.Context, addr string, body []byte, perSecond int) (int, error) {
	tick := time.NewTicker(time.Second * jobTasks / time.Duration(perSecond))
	defer tick.Stop()
	end := time.Now().Add(startWindow)
	var whole atomic.Int64
	var bad atomic.Pointer[error]
	var wg sync.WaitGroup
	for time.Now().Before(end) {
		<-tick.C
		wg.Go(func() {
			if err := sendJob(ctx, addr, body); err != nil {
				bad.Store(&err)
				return
			}
			whole.Add(1)
		})
	}
	wg.Wait()
	if err := bad.Load(); err != nil {
		return 0, *err
	}
	return int(whole.Load()), nil
}

var jobClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func sendJob(ctx context.Context, addr string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := jobClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("a job was answered with %s: %.200s", res.Status, answer)
	}
	return nil
}
