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

// Store is one control host's copy of the ledger, in a bbolt file in its data
// folder. It is safe for concurrent use.
type Store struct {
	db *bbolt.DB

	mu        sync.Mutex // guards batchSets and filled
	batchSets map[contract.LedgerOrigin]SeqSet
	filled    bool
}

// The buckets and keys of the file.
var (
	// rowsBucket holds the rows, by task.
	rowsBucket = []byte("rows")
	// batchesBucket holds the tasks of each batch, by origin and sequence number.
	batchesBucket = []byte("batches")
	// byTimeBucket indexes the batches by time. Its values are empty.
	byTimeBucket = []byte("by-time")
	// metaBucket holds the state of the file itself.
	metaBucket = []byte("meta")
	// filledKey is present in metaBucket if the file is filled.
	filledKey = []byte("filled")
)

const (
	fileName = "ledger.db"
	// openTimeout limits the wait for another process that has locked the file.
	openTimeout = 2 * time.Second
	// maxGroupCommitDelay is how long an append waits for concurrent ones, in
	// order to share a disk sync with them.
	maxGroupCommitDelay = 2 * time.Millisecond
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
	db.MaxBatchDelay = maxGroupCommitDelay
	s := &Store{db: db, batchSets: make(map[contract.LedgerOrigin]SeqSet)}
	if err := s.load(); err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

// Close closes the file and releases its lock.
func (s *Store) Close() error { return s.db.Close() }

// load creates missing buckets, and reads filled and batchSets from the file.
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
			s.batchSets[origin] = s.batchSets[origin].Add(seq)
			return nil
		})
	})
}

// Filled reports whether the file contains every batch that this host may have
// acknowledged, apart from expired ones. A new file is not filled until it is
// backfilled from the peers, since an earlier file of this host may have been
// lost.
func (s *Store) Filled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.filled
}

// SetFilled marks the file as filled. It returns once the mark is synced.
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

// Apply stores the batches that are not stored yet, merges their records into the
// rows, and returns the number of those batches. It returns only after a disk sync,
// which concurrent calls share.
func (s *Store) Apply(batches []contract.LedgerBatch) (int, error) {
	if len(batches) == 0 {
		return 0, nil
	}
	var added []contract.LedgerBatch
	err := s.db.Batch(func(tx *bbolt.Tx) error {
		added = added[:0]
		for _, b := range batches {
			if tx.Bucket(batchesBucket).Get(batchKey(b.Origin, b.Seq)) != nil {
				continue
			}
			if err := putBatch(tx, b); err != nil {
				return err
			}
			added = append(added, b)
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range added {
		s.batchSets[b.Origin] = s.batchSets[b.Origin].Add(b.Seq)
	}
	metrics.LedgerBatchesSynced.Add(int64(len(added)))
	return len(added), nil
}

// putBatch stores a batch and merges its records into their rows.
func putBatch(tx *bbolt.Tx, b contract.LedgerBatch) error {
	stored := storedBatch{At: b.At}
	for _, r := range b.Records {
		stored.add(r.Task)
		if err := mergeRow(tx, r); err != nil {
			return err
		}
	}
	key := batchKey(b.Origin, b.Seq)
	if err := putEncoded(tx.Bucket(batchesBucket), key, &stored); err != nil {
		return err
	}
	return tx.Bucket(byTimeBucket).Put(timeKey(b.At, key), nil)
}

// mergeRow merges a record into the row of its task. If that causes a conflict, it
// counts the row in metrics.LedgerConflicts.
func mergeRow(tx *bbolt.Tx, r contract.OutcomeRecord) error {
	key := rowKey(r.Task)
	before, err := getRow(tx, key)
	if err != nil {
		return err
	}
	after := MergeRows(before, contract.OutcomeRow{Records: []contract.OutcomeRecord{r}})
	if HasConflict(after) && !HasConflict(before) {
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

// BatchSets returns the sequence numbers of the stored batches, by origin.
func (s *Store) BatchSets() []contract.LedgerBatchSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]contract.LedgerBatchSet, 0, len(s.batchSets))
	for origin, set := range s.batchSets {
		out = append(out, contract.LedgerBatchSet{Origin: origin, Ranges: set})
	}
	return out
}
