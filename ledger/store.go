package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// Store keeps the ledger of one control host in its data folder. Apply
// returns only after a sync.
type Store struct {
	db *bbolt.DB

	mu     sync.Mutex // guards held and filled
	held   map[contract.LedgerOrigin]SeqSet
	filled bool
}

// The buckets: rows by task, the tasks of each batch by origin and sequence
// number, the batches by time, and facts on the file itself.
var (
	rowsBucket    = []byte("rows")
	batchesBucket = []byte("batches")
	byTimeBucket  = []byte("by-time")
	metaBucket    = []byte("meta")
	filledKey     = []byte("filled")
)

const (
	fileName = "ledger.db"
	// openTimeout bounds the wait for another process that holds the file.
	openTimeout = 2 * time.Second
	// maxGroupWait is how long concurrent appends wait for a common sync.
	maxGroupWait = 2 * time.Millisecond
)

// OpenStore opens or creates the ledger in dir.
func OpenStore(dir string) (*Store, error) {
	path := filepath.Join(dir, fileName)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, fmt.Errorf("%s is in use: stop the other carawayd with this data folder", path)
	}
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	db.MaxBatchDelay = maxGroupWait
	s := &Store{db: db, held: make(map[contract.LedgerOrigin]SeqSet)}
	if err := s.load(); err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// load makes the buckets and reads which batches are held.
func (s *Store) load() error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{rowsBucket, batchesBucket, byTimeBucket, metaBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		s.filled = tx.Bucket(metaBucket).Get(filledKey) != nil
		if s.filled {
			metrics.LedgerFilled.Set(1)
		}
		return tx.Bucket(batchesBucket).ForEach(func(k, _ []byte) error {
			origin, seq, err := parseBatchKey(k)
			if err != nil {
				return err
			}
			s.held[origin] = s.held[origin].Add(seq)
			return nil
		})
	})
}

// Filled reports whether the file has once held all that this host may have
// acknowledged. A new file has not: its predecessor may have been lost.
func (s *Store) Filled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.filled
}

// SetFilled syncs that the file is filled.
func (s *Store) SetFilled() error {
	err := s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(filledKey, []byte{1}) })
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.filled = true
	metrics.LedgerFilled.Set(1)
	return nil
}

// Apply merges and syncs the batches that are not held yet, and returns how
// many those were. Concurrent calls share a sync.
func (s *Store) Apply(batches []contract.LedgerBatch) (int, error) {
	if len(batches) == 0 {
		return 0, nil
	}
	var fresh []contract.LedgerBatch
	err := s.db.Batch(func(tx *bbolt.Tx) error {
		fresh = fresh[:0]
		for _, b := range batches {
			if tx.Bucket(batchesBucket).Get(batchKey(b.Origin, b.Seq)) != nil {
				continue
			}
			if err := putBatch(tx, b); err != nil {
				return err
			}
			fresh = append(fresh, b)
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range fresh {
		s.held[b.Origin] = s.held[b.Origin].Add(b.Seq)
	}
	metrics.LedgerBatchesSynced.Add(int64(len(fresh)))
	return len(fresh), nil
}

func putBatch(tx *bbolt.Tx, b contract.LedgerBatch) error {
	stored := storedBatch{At: b.At}
	for _, r := range b.Records {
		stored.add(r.Task)
		if err := mergeRow(tx, r); err != nil {
			return err
		}
	}
	key := batchKey(b.Origin, b.Seq)
	if err := put(tx.Bucket(batchesBucket), key, &stored); err != nil {
		return err
	}
	return tx.Bucket(byTimeBucket).Put(timeKey(b.At, key), nil)
}

func mergeRow(tx *bbolt.Tx, r contract.OutcomeRecord) error {
	key := rowKey(r.Task)
	before, err := getRow(tx, key)
	if err != nil {
		return err
	}
	after := MergeRows(before, contract.OutcomeRow{Records: []contract.OutcomeRecord{r}})
	if Conflict(after) && !Conflict(before) {
		metrics.LedgerConflicts.Add(1)
	}
	return putRow(tx, key, after)
}

// Job returns the rows of a job in the order of its tasks.
func (s *Store) Job(id contract.JobID) ([]contract.OutcomeRow, error) {
	var out []contract.OutcomeRow
	prefix := append([]byte(id), 0)
	err := s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(rowsBucket).Cursor()
		for k, raw := c.Seek(prefix); bytes.HasPrefix(k, prefix); k, raw = c.Next() {
			row, err := decodeRow(k, raw)
			if err != nil {
				return err
			}
			out = append(out, row)
		}
		return nil
	})
	return out, err
}

// Held returns which batches are held.
func (s *Store) Held() []contract.LedgerHeld {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]contract.LedgerHeld, 0, len(s.held))
	for origin, set := range s.held {
		out = append(out, contract.LedgerHeld{Origin: origin, Ranges: set})
	}
	return out
}
