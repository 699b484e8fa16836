package ledger

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/bbolt"

	"github.com/carawaylanding/carawaylanding/contract"
)

// storedBatch is a batch as it is kept: its records are in the rows.
type storedBatch struct {
	At   time.Time
	Jobs []storedJob
}

// storedJob names the tasks of one job in a batch.
type storedJob struct {
	Job     contract.JobID
	Indexes []uint32
}

// add notes a task. Tasks of one job mostly come in a row.
func (b *storedBatch) add(t contract.TaskID) {
	n := len(b.Jobs)
	if n == 0 || b.Jobs[n-1].Job != t.Job {
		b.Jobs = append(b.Jobs, storedJob{Job: t.Job})
		n++
	}
	last := &b.Jobs[n-1]
	last.Indexes = append(last.Indexes, t.Index)
}

// tasks returns the tasks of the batch.
func (b *storedBatch) tasks() []contract.TaskID {
	var out []contract.TaskID
	for _, j := range b.Jobs {
		for _, i := range j.Indexes {
			out = append(out, contract.TaskID{Job: j.Job, Index: i})
		}
	}
	return out
}

// put stores v under key, structs as arrays without the names of their fields.
func put(b *bbolt.Bucket, key []byte, v any) error {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return err
	}
	return b.Put(key, buf.Bytes())
}

// putRow stores a row. The task is in the key alone.
func putRow(tx *bbolt.Tx, key []byte, row contract.OutcomeRow) error {
	for i := range row.Records {
		row.Records[i].Task = contract.TaskID{}
	}
	return put(tx.Bucket(rowsBucket), key, &row)
}

// getRow returns the row of the key, empty where there is none.
func getRow(tx *bbolt.Tx, key []byte) (contract.OutcomeRow, error) {
	raw := tx.Bucket(rowsBucket).Get(key)
	if raw == nil {
		return contract.OutcomeRow{}, nil
	}
	return decodeRow(key, raw)
}

func decodeRow(key, raw []byte) (contract.OutcomeRow, error) {
	var row contract.OutcomeRow
	if err := msgpack.Unmarshal(raw, &row); err != nil {
		return row, err
	}
	task, err := parseRowKey(key)
	for i := range row.Records {
		row.Records[i].Task = task
	}
	return row, err
}

// indexBytes is the size of a task's index in a key, after a zero byte.
const indexBytes = 4

func rowKey(t contract.TaskID) []byte {
	key := append([]byte(t.Job), 0)
	return binary.BigEndian.AppendUint32(key, t.Index)
}

func parseRowKey(k []byte) (contract.TaskID, error) {
	n := len(k) - indexBytes - 1
	if n < 0 {
		return contract.TaskID{}, errDamaged()
	}
	return contract.TaskID{Job: contract.JobID(k[:n]), Index: binary.BigEndian.Uint32(k[n+1:])}, nil
}

// numberBytes is the size of a number in a key.
const numberBytes = 8

func batchKey(o contract.LedgerOrigin, seq uint64) []byte {
	key := binary.BigEndian.AppendUint64([]byte(o.Host), uint64(o.Incarnation))
	return binary.BigEndian.AppendUint64(key, seq)
}

func parseBatchKey(k []byte) (contract.LedgerOrigin, uint64, error) {
	n := len(k) - 2*numberBytes
	if n < 0 {
		return contract.LedgerOrigin{}, 0, errDamaged()
	}
	origin := contract.LedgerOrigin{
		Host:        contract.HostID(k[:n]),
		Incarnation: contract.Incarnation(binary.BigEndian.Uint64(k[n:])),
	}
	return origin, binary.BigEndian.Uint64(k[n+numberBytes:]), nil
}

func timeKey(at time.Time, batch []byte) []byte {
	key := binary.BigEndian.AppendUint64(nil, uint64(at.UnixNano()))
	return append(key, batch...)
}

func errDamaged() error {
	return fmt.Errorf("%s is damaged: replace the disk and remove the file, the other control hosts refill it", fileName)
}
