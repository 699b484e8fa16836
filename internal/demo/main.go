// Demo demonstrates the system end to end with separate processes on loopback: three
// entry and control hosts and four workers with their upstreams. It applies the
// tables with carawayctl, and sends one job and one single request.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/forward"
	"github.com/carawaylanding/carawaylanding/internal/testbed"
)

const (
	demoTimeout = 50 * time.Second
	demoTasks   = 12
	demoHubs    = 3
	demoWorkers = 4
)

func main() {
	bin := flag.String("bin", "bin", "folder of the built programs")
	flag.Parse()
	if err := run(*bin); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run(bin string) error {
	dir, err := os.MkdirTemp("", "carawaylanding-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	bed := testbed.New(bin, dir)
	defer bed.Close()
	sys, err := bed.Build(testbed.Plan{
		Domains: []string{"thamel", "patan", "bhaktapur", "baneshwor"},
		Hubs:    demoHubs,
		Workers: demoWorkers,
		Slots:   8,
		Pools:   []string{"formula"},
		HubArgs: []string{"-drain-delay", "100ms"},
	})
	if err != nil {
		return err
	}
	if err := sys.StartAll(); err != nil {
		return err
	}
	if err := putTables(ctx, sys, dir); err != nil {
		return err
	}
	if err := awaitReady(ctx, sys); err != nil {
		return err
	}
	if err := submitJob(ctx, sys); err != nil {
		return err
	}
	if err := sendSingle(ctx, sys); err != nil {
		return err
	}
	return runCtl(ctx, sys, "burn")
}

const demoTables = `{
  "routes": [{"name": "cards", "path_prefix": "/cards", "pool": "formula", "objective_ms": 50}],
  "pools": [{"name": "formula"}]
}`

func putTables(ctx context.Context, sys *testbed.System, dir string) error {
	file := filepath.Join(dir, "tables.json")
	if err := os.WriteFile(file, []byte(demoTables), 0o600); err != nil {
		return err
	}
	return testbed.Await(ctx, func() error { return runCtl(ctx, sys, "apply", "-f", file, "-wait") })
}

// runCtl runs carawayctl with the admin addresses of all hubs and prints its output.
func runCtl(ctx context.Context, sys *testbed.System, args ...string) error {
	return runCtlExpecting(ctx, sys, "", args...)
}

// runCtlExpecting is like runCtl, but returns an error if the output does not
// contain want.
func runCtlExpecting(ctx context.Context, sys *testbed.System, want string, args ...string) error {
	var admins []string
	for _, h := range sys.Hubs {
		admins = append(admins, h.Admin)
	}
	all := append([]string{"-admin", strings.Join(admins, ",")}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(sys.Bin, "carawayctl"), all...).CombinedOutput()
	if err != nil || !strings.Contains(string(out), want) {
		return fmt.Errorf("carawayctl %s: %v: %s", args[0], err, out)
	}
	fmt.Printf("== carawayctl %s\n%s", strings.Join(args, " "), out)
	return nil
}

func awaitReady(ctx context.Context, sys *testbed.System) error {
	for _, h := range sys.Hubs {
		if err := testbed.Await(ctx, func() error { return testbed.ReadyWithWorkers(h, demoWorkers) }); err != nil {
			return err
		}
	}
	return nil
}

func submitJob(ctx context.Context, sys *testbed.System) error {
	spec := contract.JobSpec{Route: "cards", Team: "thamel-salons"}
	for i := range demoTasks {
		payload := fmt.Sprintf(`{"work_ms": 60, "echo": "card %d"}`, i)
		spec.Tasks = append(spec.Tasks, contract.TaskSpec{Payload: json.RawMessage(payload)})
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	fmt.Println("== a job of", demoTasks, "tasks")
	began := time.Now()
	res, answer, err := send(ctx, http.MethodPost, sys.Hubs[0].HTTP, "/v1/jobs", body)
	if err != nil {
		return err
	}
	fmt.Printf("%s in %v, outcome %s\n%s", res.Status, time.Since(began).Round(time.Millisecond), res.Header.Get(forward.HeaderOutcome), answer)
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("the job was answered with %s", res.Status)
	}
	id := res.Header.Get(forward.HeaderJobID)
	_, status, err := send(ctx, http.MethodGet, sys.Hubs[0].HTTP, "/v1/jobs/"+id, nil)
	if err != nil {
		return err
	}
	fmt.Printf("== outcomes by task\n%s", status)
	// The ledger is synced in batches, shortly after the answer.
	return testbed.Await(ctx, func() error { return runCtlExpecting(ctx, sys, "ran once", "outcome", id) })
}

func sendSingle(ctx context.Context, sys *testbed.System) error {
	fmt.Println("== a single request through another entry")
	res, answer, err := send(ctx, http.MethodPost, sys.Hubs[1].HTTP, "/cards/reprint", []byte(`{"work_ms": 50, "echo": "reprint 7"}`))
	if err != nil {
		return err
	}
	fmt.Printf("%s, outcome %s\n%s", res.Status, res.Header.Get(forward.HeaderOutcome), answer)
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("the request was answered with %s", res.Status)
	}
	return nil
}

// send sends a request and returns the response and its body.
func send(ctx context.Context, method, addr, path string, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	return res, answer, err
}
