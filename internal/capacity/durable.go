package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/ledger"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/record"
)

// recordCounts are the numbers of job records that a holder keeps.
var recordCounts = []int{1000, 10_000, 50_000}

// planSizes are the numbers of tasks in a job's plan.
var planSizes = []int{1, 15, 150}

// recordSlopes measures the memory and the messages of job records.
func recordSlopes() ([]slope, error) {
	var few, full, wire []point
	for _, n := range recordCounts {
		few = append(few, point{float64(n), heapAfter(func() any { return heldRecords(n, 1) })})
		full = append(full, point{float64(n / 10), heapAfter(func() any { return heldRecords(n/10, contract.MaxTasks) })})
	}
	for _, n := range planSizes {
		raw, err := link.AppendFrame(nil, link.Frame{Message: recordWrite(0, n)})
		if err != nil {
			return nil, err
		}
		wire = append(wire, point{float64(n), float64(len(raw))})
	}
	return collect(
		slopeOf("holder memory, jobs of 1 task", "record", "bytes", few),
		slopeOf("holder memory, jobs of 150 tasks", "record", "bytes", full),
		slopeOf("record write", "task of the plan", "bytes", wire),
	)
}

func heldRecords(n, tasks int) *record.Holder {
	now := time.Unix(0, 0)
	h := record.NewHolder(record.Config{}, true, now)
	for i := range n {
		h.Write(now, recordWrite(i, tasks))
	}
	return h
}

func recordWrite(i, tasks int) *contract.RecordWrite {
	w := &contract.RecordWrite{
		Job:    contract.KeyedJobID("team", fmt.Sprint(i)),
		Digest: "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
		Epoch:  contract.RecordEpoch{Round: contract.FirstRound, Host: "entry01", Incarnation: 1 << 60, Attempt: uint64(i)},
		TTL:    record.DefaultRetention,
	}
	for t := range tasks {
		w.Plan = append(w.Plan, contract.Placement{Task: uint32(t), Attempt: 1, Worker: contract.HostID(fmt.Sprintf("w%05d", t%11)), Incarnation: 1 << 60})
	}
	return w
}

const (
	ledgerRounds = 20
	nsPerSecond  = 1e9
)

// batchSizes are the numbers of outcomes that are synced together.
var batchSizes = []int{10, 100, 1000}

// ledgerSlopes measures the time and the disk that outcomes take when they are
// synced together.
func ledgerSlopes(dir string) ([]slope, error) {
	var cost, disk []point
	for _, n := range batchSizes {
		folder := filepath.Join(dir, fmt.Sprintf("ledger%d", n))
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return nil, err
		}
		took, size, err := fillLedger(folder, n)
		if err != nil {
			return nil, err
		}
		cost = append(cost, point{float64(n), took.Seconds() * nsPerSecond / ledgerRounds})
		disk = append(disk, point{float64(n * ledgerRounds), size})
	}
	return collect(
		slopeOf("ledger sync", "outcome in the batch", "ns", cost),
		slopeOf("ledger file", "outcome", "bytes", disk),
	)
}

// fillLedger syncs batches of n outcomes one after another, and returns the
// time taken and the size of the file.
func fillLedger(dir string, n int) (time.Duration, float64, error) {
	store, err := ledger.OpenStore(dir)
	if err != nil {
		return 0, 0, err
	}
	defer store.Close()
	began := time.Now()
	for i := range ledgerRounds {
		if _, err := store.Apply([]contract.LedgerBatch{outcomeBatch(i, n)}); err != nil {
			return 0, 0, err
		}
	}
	took := time.Since(began)
	info, err := os.Stat(filepath.Join(dir, "ledger.db"))
	if err != nil {
		return 0, 0, err
	}
	return took, float64(info.Size()), nil
}

func outcomeBatch(seq, n int) contract.LedgerBatch {
	b := contract.LedgerBatch{Origin: contract.LedgerOrigin{Host: "entry01", Incarnation: 1}, Seq: uint64(seq + 1), At: time.Now()}
	for i := range n {
		at := seq*n + i
		b.Records = append(b.Records, contract.OutcomeRecord{
			Task: contract.TaskID{Job: contract.KeyedJobID("team", fmt.Sprint(at/contract.MaxTasks)), Index: uint32(at % contract.MaxTasks)},
			Team: "team", Route: benchRoute, Outcome: contract.OutcomeRan, Status: 200,
			Worker: "w00001", Incarnation: 1 << 60, Attempt: 1, Entry: "entry01", At: time.Now(),
		})
	}
	return b
}
