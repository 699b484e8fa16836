package ledger

import (
	"encoding/binary"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/bbolt"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// maxPullBatches bounds the batches of one answer to a pull.
const maxPullBatches = 64

// Lacking returns batches younger than cutoff that a host with the given
// batches lacks, and whether there are more.
func (s *Store) Lacking(held []contract.LedgerHeld, cutoff time.Time) ([]contract.LedgerBatch, bool, error) {
	keys := s.lackingKeys(held, maxPullBatches+1)
	more := len(keys) > maxPullBatches
	if more {
		keys = keys[:maxPullBatches]
	}
	var out []contract.LedgerBatch
	err := s.db.View(func(tx *bbolt.Tx) error {
		for _, k := range keys {
			b, err := readBatch(tx, k)
			if err != nil {
				return err
			}
			if b != nil && b.At.After(cutoff) {
				out = append(out, *b)
			}
		}
		return nil
	})
	return out, more && len(out) > 0, err
}

// batchID names one batch.
type batchID struct {
	origin contract.LedgerOrigin
	seq    uint64
}

func (s *Store) lackingKeys(held []contract.LedgerHeld, limit int) []batchID {
	theirs := make(map[contract.LedgerOrigin]SeqSet, len(held))
	for _, h := range held {
		theirs[h.Origin] = h.Ranges
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []batchID
	for origin, ours := range s.held {
		for _, seq := range ours.Minus(theirs[origin], limit-len(out)) {
			out = append(out, batchID{origin: origin, seq: seq})
		}
	}
	return out
}

// readBatch returns a batch with the rows of its tasks as they are merged by
// now, or nil where it has expired.
func readBatch(tx *bbolt.Tx, id batchID) (*contract.LedgerBatch, error) {
	raw := tx.Bucket(batchesBucket).Get(batchKey(id.origin, id.seq))
	if raw == nil {
		return nil, nil
	}
	var stored storedBatch
	if err := msgpack.Unmarshal(raw, &stored); err != nil {
		return nil, err
	}
	b := &contract.LedgerBatch{Origin: id.origin, Seq: id.seq, At: stored.At}
	for _, t := range stored.tasks() {
		row, err := getRow(tx, rowKey(t))
		if err != nil {
			return nil, err
		}
		b.Records = append(b.Records, row.Records...)
	}
	return b, nil
}

// expireStep is the number of batches that one transaction of Expire removes.
const expireStep = 50

// Expire removes batches older than cutoff with the rows that no younger
// record has touched, in one small transaction; it reports whether more are
// left.
func (s *Store) Expire(cutoff time.Time) (bool, error) {
	var gone []batchID
	err := s.db.Update(func(tx *bbolt.Tx) error {
		gone = gone[:0]
		for _, k := range expiredKeys(tx, cutoff) {
			if err := removeBatch(tx, k, cutoff); err != nil {
				return err
			}
			origin, seq, err := parseBatchKey(k[numberBytes:])
			if err != nil {
				return err
			}
			gone = append(gone, batchID{origin: origin, seq: seq})
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	s.forget(gone)
	metrics.LedgerBatchesExpired.Add(int64(len(gone)))
	return len(gone) == expireStep, nil
}

// expiredKeys returns the oldest keys by time that lie before cutoff.
func expiredKeys(tx *bbolt.Tx, cutoff time.Time) [][]byte {
	var out [][]byte
	c := tx.Bucket(byTimeBucket).Cursor()
	for k, _ := c.First(); k != nil && len(out) < expireStep; k, _ = c.Next() {
		if int64(binary.BigEndian.Uint64(k)) >= cutoff.UnixNano() {
			break
		}
		out = append(out, append([]byte(nil), k...))
	}
	return out
}

func removeBatch(tx *bbolt.Tx, timed []byte, cutoff time.Time) error {
	key := timed[numberBytes:]
	var stored storedBatch
	if err := msgpack.Unmarshal(tx.Bucket(batchesBucket).Get(key), &stored); err != nil {
		return err
	}
	for _, t := range stored.tasks() {
		if err := removeRow(tx, rowKey(t), cutoff); err != nil {
			return err
		}
	}
	if err := tx.Bucket(batchesBucket).Delete(key); err != nil {
		return err
	}
	return tx.Bucket(byTimeBucket).Delete(timed)
}

func removeRow(tx *bbolt.Tx, key []byte, cutoff time.Time) error {
	row, err := getRow(tx, key)
	if err != nil {
		return err
	}
	for _, r := range row.Records {
		if !r.At.Before(cutoff) {
			return nil
		}
	}
	return tx.Bucket(rowsBucket).Delete(key)
}

func (s *Store) forget(gone []batchID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range gone {
		left := s.held[id.origin].Remove(id.seq)
		if len(left) == 0 {
			delete(s.held, id.origin)
			continue
		}
		s.held[id.origin] = left
	}
}
