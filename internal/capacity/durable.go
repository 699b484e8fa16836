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

// recordCounts are the measured numbers of job records in a holder.
var recordCounts = []int{1000, 10_000, 50_000}

// planSizes are the measured numbers of tasks in a job's plan.
var planSizes = []int{1, 15, 150}

// recordSlopes measures the memory of job records in a holder, and the size of the
// messages that write them.
func recordSlopes() ([]slope, error) {
	var small, large, wire []point
	for _, n := range recordCounts {
		small = append(small, point{float64(n), heapGrowth(func() any { return holderWithRecords(n, 1) })})
		large = append(large, point{float64(n / 10), heapGrowth(func() any { return holderWithRecords(n/10, contract.MaxTasks) })})
	}
	for _, n := range planSizes {
		raw, err := link.AppendFrame(nil, link.Frame{Message: newRecordWrite(0, n)})
		if err != nil {
			return nil, err
		}
		wire = append(wire, point{float64(n), float64(len(raw))})
	}
	return collectSlopes(
		slopeOf("holder memory, jobs of 1 task", "record", "bytes", small),
		slopeOf("holder memory, jobs of 150 tasks", "record", "bytes", large),
		slopeOf("record write", "task of the plan", "bytes", wire),
	)
}

// holderWithRecords returns a record holder with n records of jobs with the given
// number of tasks.
func holderWithRecords(n, tasks int) *record.Holder {
	now := time.Unix(0, 0)
	h := record.NewHolder(record.Config{}, true, now)
	for i := range n {
		h.Write(now, newRecordWrite(i, tasks))
	}
	return h
}

// newRecordWrite returns a write of the record of job i with the given number of
// placements.
func newRecordWrite(i, tasks int) *contract.RecordWrite {
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

// batchSizes are the measured numbers of outcomes in a ledger batch.
var batchSizes = []int{10, 100, 1000}

// ledgerSlopes measures the time to sync a batch of outcomes to the ledger, and the
// disk space of outcomes.
func ledgerSlopes(dir string) ([]slope, error) {
	var cost, disk []point
	for _, n := range batchSizes {
		storeDir := filepath.Join(dir, fmt.Sprintf("ledger%d", n))
		if err := os.MkdirAll(storeDir, 0o755); err != nil {
			return nil, err
		}
		took, size, err := syncBatches(storeDir, n)
		if err != nil {
			return nil, err
		}
		cost = append(cost, point{float64(n), took.Seconds() * nsPerSecond / ledgerRounds})
		disk = append(disk, point{float64(n * ledgerRounds), size})
	}
	return collectSlopes(
		slopeOf("ledger sync", "outcome in the batch", "ns", cost),
		slopeOf("ledger file", "outcome", "bytes", disk),
	)
}

// syncBatches syncs ledgerRounds batches of n outcomes to a new ledger store in dir.
// It returns the time taken and the size of the file in bytes.
func syncBatches(dir string, n int) (time.Duration, float64, error) {
	store, err := ledger.OpenStore(dir)
	if err != nil {
		return 0, 0, err
	}
	defer store.Close()
	began := time.Now()
	for i := range ledgerRounds {
		if _, err := store.Apply([]contract.LedgerBatch{newOutcomeBatch(i, n)}); err != nil {
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

// newOutcomeBatch returns batch seq with n outcomes.
func newOutcomeBatch(seq, n int) contract.LedgerBatch {
	b := contract.LedgerBatch{Origin: contract.LedgerOrigin{Host: "entry01", Incarnation: 1}, Seq: uint64(seq + 1), At: time.Now()}
	for i := range n {
		taskNumber := seq*n + i
		b.Records = append(b.Records, contract.OutcomeRecord{
			Task: contract.TaskID{Job: contract.KeyedJobID("team", fmt.Sprint(taskNumber/contract.MaxTasks)), Index: uint32(taskNumber % contract.MaxTasks)},
			Team: "team", Route: benchRoute, Outcome: contract.OutcomeRan, Status: 200,
			Worker: "w00001", Incarnation: 1 << 60, Attempt: 1, Entry: "entry01", At: time.Now(),
		})
	}
	return b
}
