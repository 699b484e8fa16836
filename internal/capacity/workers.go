package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/internal/procuse"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
	"github.com/carawaylanding/carawaylanding/link"
)

// idleWorkers simulates many workers in this process. It is the handler of their
// links: it announces each worker and ignores the messages to it. The links answer
// heartbeats. linking counts the links that are not up yet.
type idleWorkers struct{ linking sync.WaitGroup }

// LinkUp announces the worker of the link.
func (c *idleWorkers) LinkUp(l *link.Link) {
	l.Send(&contract.Announce{Pools: []string{benchPool}, Capacity: contract.Capacity{Slots: 8}, HTTPAddr: "127.0.0.1:1"})
	c.linking.Done()
}

// LinkDown ignores the end of a link.
func (c *idleWorkers) LinkDown(*link.Link, error) {}

// Receive ignores the message.
func (c *idleWorkers) Receive(*link.Link, uint64, contract.Message) {}

const (
	benchPool           = "formula"
	benchRoute          = "cards"
	idleMeasureDuration = 6 * time.Second
	settleDuration      = 2 * time.Second
	hostsPerRack        = 3
	failureDomainCount  = 22
	systemStartTimeout  = 20 * time.Second
)

// idleWorkerCounts are the measured numbers of idle workers.
var idleWorkerCounts = []int{50, 200, 800}

// workerSlopes measures the resource usage of an entry by the number of idle workers
// linked to it.
func workerSlopes(ctx context.Context, bin, dir string) ([]slope, error) {
	var mem, cpu, traffic []point
	for i, n := range idleWorkerCounts {
		u, r, err := idleEntry(ctx, bin, fmt.Sprintf("%s/crowd%d", dir, i), n)
		if err != nil {
			return nil, err
		}
		mem = append(mem, point{float64(n), u.Resident})
		cpu = append(cpu, point{float64(n), r.CPU})
		traffic = append(traffic, point{float64(n), r.Bytes})
	}
	return collectSlopes(
		slopeOf("entry memory", "idle worker", "bytes", mem),
		slopeOf("entry processor time", "idle worker", "core share", cpu),
		slopeOf("entry link traffic", "idle worker", "bytes/s", traffic),
	)
}

// idleEntry runs an entry with n idle workers, and returns its usage at the end and
// its usage rate.
func idleEntry(ctx context.Context, bin, dir string, n int) (procuse.Usage, procuse.Rate, error) {
	sys, err := startSystem(ctx, bin, dir, testbed.Plan{Domains: []string{"north"}, Hubs: 1})
	if err != nil {
		return procuse.Usage{}, procuse.Rate{}, err
	}
	defer sys.Close()
	hub := sys.Hubs[0]
	linkCtx, stop := context.WithCancel(ctx)
	defer stop()
	handler := &idleWorkers{}
	handler.linking.Add(n)
	for i := range n {
		hello := contract.Hello{
			Host:          contract.HostID(fmt.Sprintf("w%05d", i)),
			Incarnation:   contract.Incarnation(i + 1),
			FailureDomain: fmt.Sprintf("domain%02d", i%failureDomainCount),
			Rack:          fmt.Sprintf("rack%04d", i/hostsPerRack),
			Roles:         []contract.Role{contract.RoleAgent},
		}
		d := &link.Dialer{Addr: hub.Link, Local: hello, Handler: handler}
		go d.Run(linkCtx)
	}
	handler.linking.Wait()
	time.Sleep(settleDuration)
	before, err := procuse.Read(hub.PID(), hub.Admin)
	if err != nil {
		return procuse.Usage{}, procuse.Rate{}, err
	}
	time.Sleep(idleMeasureDuration)
	after, err := procuse.Read(hub.PID(), hub.Admin)
	return after, procuse.Between(before, after), err
}

// startSystem starts the system that plan describes, adds one route and one pool, and
// waits until the hubs are ready.
func startSystem(ctx context.Context, bin, dir string, plan testbed.Plan) (*testbed.System, error) {
	bed, err := newBed(bin, dir)
	if err != nil {
		return nil, err
	}
	plan.HubArgs = append(plan.HubArgs, "-drain-delay", "10ms")
	sys, err := bed.Build(plan)
	if err != nil {
		return nil, err
	}
	if err := sys.StartAll(); err != nil {
		bed.Close()
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, systemStartTimeout)
	defer cancel()
	if err := testbed.Await(ctx, func() error { return putTables(sys.Hubs[0].Admin) }); err != nil {
		bed.Close()
		return nil, err
	}
	for _, h := range sys.Hubs {
		if err := testbed.Await(ctx, func() error { return testbed.Ready(h.HTTP) }); err != nil {
			bed.Close()
			return nil, err
		}
	}
	return sys, nil
}

func putTables(admin string) error {
	e := contract.Edit{
		ID:        "capacity",
		PutRoutes: []contract.Route{{Name: benchRoute, PathPrefix: "/cards", Pool: benchPool}},
		PutPools:  []contract.Pool{{Name: benchPool}},
	}
	raw, err := json.Marshal(e)
	if err != nil {
		return err
	}
	res, err := http.Post("http://"+admin+"/admin/edits", "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("edit of the tables failed: %s", res.Status)
	}
	return nil
}
