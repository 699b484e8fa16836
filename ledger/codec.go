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

// storedBatch is a batch as stored in batchesBucket. It lists the tasks of its
// records; the records themselves are merged into the rows of those tasks.
type storedBatch struct {
	At   time.Time
	Jobs []storedJob
}

// storedJob lists the tasks of one job in a batch, by index.
type storedJob struct {
	Job     contract.JobID
	Indexes []uint32
}

// add adds a task. The tasks of one job are usually adjacent, so only the last job
// is compared.
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

// putEncoded stores v under key, msgpack-encoded. Structs are encoded as arrays,
// without field names.
func putEncoded(b *bbolt.Bucket, key []byte, v any) error {
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

// putRow stores a row. It clears the task in each record, since the key contains
// it.
func putRow(tx *bbolt.Tx, key []byte, row contract.OutcomeRow) error {
	for i := range row.Records {
		row.Records[i].Task = contract.TaskID{}
	}
	return putEncoded(tx.Bucket(rowsBucket), key, &row)
}

// getRow returns the row of the key, or an empty row if there is none.
func getRow(tx *bbolt.Tx, key []byte) (contract.OutcomeRow, error) {
	raw := tx.Bucket(rowsBucket).Get(key)
	if raw == nil {
		return contract.OutcomeRow{}, nil
	}
	return decodeRow(key, raw)
}

// decodeRow decodes a stored row and sets the task of each record from the key.
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

// indexBytes is the size of the task index at the end of a row key.
const indexBytes = 4

// rowKey returns the key of a task's row: the job ID, a zero byte and the index of
// the task.
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

// uint64Bytes is the size of an incarnation, sequence number or time in a key.
const uint64Bytes = 8

// batchKey returns the key of a batch in batchesBucket: the origin's host and
// incarnation, and the sequence number.
func batchKey(o contract.LedgerOrigin, seq uint64) []byte {
	key := binary.BigEndian.AppendUint64([]byte(o.Host), uint64(o.Incarnation))
	return binary.BigEndian.AppendUint64(key, seq)
}

func parseBatchKey(k []byte) (contract.LedgerOrigin, uint64, error) {
	n := len(k) - 2*uint64Bytes
	if n < 0 {
		return contract.LedgerOrigin{}, 0, errDamaged()
	}
	origin := contract.LedgerOrigin{
		Host:        contract.HostID(k[:n]),
		Incarnation: contract.Incarnation(binary.BigEndian.Uint64(k[n:])),
	}
	return origin, binary.BigEndian.Uint64(k[n+uint64Bytes:]), nil
}

// timeKey returns the key of a batch in byTimeBucket: the time, in Unix
// nanoseconds, and the batch key.
func timeKey(at time.Time, batchKey []byte) []byte {
	key := binary.BigEndian.AppendUint64(nil, uint64(at.UnixNano()))
	return append(key, batchKey...)
}

// errDamaged returns the error for a file whose keys cannot be parsed.
func errDamaged() error {
	return fmt.Errorf("%s is damaged: replace the disk and remove the file; it is then restored from the other control hosts", fileName)
}
