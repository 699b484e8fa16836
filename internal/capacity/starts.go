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
	startTestWorkers     = 6
	startTestSlots       = 64
	tasksPerJob          = 50
	startMeasureDuration = 6 * time.Second
)

// taskStartRates are the measured rates, in task starts per second.
var taskStartRates = []int{500, 1500, 3000}

// startSlopes measures the CPU time and traffic of task starts at the entry and the
// agents. The usage covers each job from the caller's request to its answer.
func startSlopes(ctx context.Context, bin, dir string) ([]slope, error) {
	sys, err := startSystem(ctx, bin, dir, testbed.Plan{
		Domains: []string{"north", "east"}, Hubs: 1, Workers: startTestWorkers, Slots: startTestSlots, Pools: []string{benchPool},
	})
	if err != nil {
		return nil, err
	}
	defer sys.Close()
	time.Sleep(settleDuration)
	var entryCPU, agentCPU, traffic []point
	for _, perSecond := range taskStartRates {
		entry, agents, startRate, err := measureStarts(ctx, sys, perSecond)
		if err != nil {
			return nil, err
		}
		entryCPU = append(entryCPU, point{startRate, entry.CPU})
		agentCPU = append(agentCPU, point{startRate / startTestWorkers, agents.CPU / startTestWorkers})
		traffic = append(traffic, point{startRate, entry.Bytes})
	}
	return collectSlopes(
		slopeOf("entry processor time", "start/s", "core share", entryCPU),
		slopeOf("agent processor time", "start/s", "core share", agentCPU),
		slopeOf("entry link traffic", "start/s", "bytes/s", traffic),
	)
}

// measureStarts sends jobs at a fixed rate, as an open-loop load. It returns the usage
// rates of the entry and of all agents together, and the rate of task starts of the
// jobs that succeeded, per second.
func measureStarts(ctx context.Context, sys *testbed.System, perSecond int) (entry, agents procuse.Rate, startRate float64, err error) {
	body, err := jobBody()
	if err != nil {
		return procuse.Rate{}, procuse.Rate{}, 0, err
	}
	before, err := readUsages(sys)
	if err != nil {
		return procuse.Rate{}, procuse.Rate{}, 0, err
	}
	succeeded, err := sendJobs(ctx, sys.Hubs[0].HTTP, body, perSecond)
	if err != nil {
		return procuse.Rate{}, procuse.Rate{}, 0, err
	}
	after, err := readUsages(sys)
	if err != nil {
		return procuse.Rate{}, procuse.Rate{}, 0, err
	}
	entry = procuse.Between(before[0], after[0])
	for i := range before[1:] {
		agents.CPU += procuse.Between(before[i+1], after[i+1]).CPU
	}
	return entry, agents, float64(succeeded*tasksPerJob) / after[0].At.Sub(before[0].At).Seconds(), nil
}

func jobBody() ([]byte, error) {
	spec := contract.JobSpec{Route: benchRoute, Team: "bench"}
	payload, err := json.Marshal(map[string]string{"echo": string(bytes.Repeat([]byte("x"), payloadBytes))})
	if err != nil {
		return nil, err
	}
	for range tasksPerJob {
		spec.Tasks = append(spec.Tasks, contract.TaskSpec{Payload: payload})
	}
	return json.Marshal(spec)
}

// readUsages returns the usage of the entry, followed by that of each agent.
func readUsages(sys *testbed.System) ([]procuse.Usage, error) {
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

// sendJobs sends jobs at a rate of perSecond task starts for startMeasureDuration. It
// returns the number of jobs, or an error if any job failed.
func sendJobs(ctx context.Context, addr string, body []byte, perSecond int) (int, error) {
	tick := time.NewTicker(time.Second * tasksPerJob / time.Duration(perSecond))
	defer tick.Stop()
	end := time.Now().Add(startMeasureDuration)
	var succeeded atomic.Int64
	var failure atomic.Pointer[error]
	var wg sync.WaitGroup
	for time.Now().Before(end) {
		<-tick.C
		wg.Go(func() {
			if err := sendJob(ctx, addr, body); err != nil {
				failure.Store(&err)
				return
			}
			succeeded.Add(1)
		})
	}
	wg.Wait()
	if err := failure.Load(); err != nil {
		return 0, *err
	}
	return int(succeeded.Load()), nil
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
