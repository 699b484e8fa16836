package ledger

import (
	"encoding/binary"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/bbolt"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/metrics"
)

// maxPullBatches is the maximum number of batches in one LedgerBatches reply.
const maxPullBatches = 64

// MissingBatches returns at most maxPullBatches stored batches that are newer than
// cutoff and not in have, which lists the batches that a peer has stored. It also
// reports whether another call may return more.
func (s *Store) MissingBatches(have []contract.LedgerBatchSet, cutoff time.Time) ([]contract.LedgerBatch, bool, error) {
	ids := s.missingBatchIDs(have, maxPullBatches+1)
	more := len(ids) > maxPullBatches
	if more {
		ids = ids[:maxPullBatches]
	}
	var out []contract.LedgerBatch
	err := s.db.View(func(tx *bbolt.Tx) error {
		for _, id := range ids {
			b, err := readBatch(tx, id)
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

// batchID identifies one batch.
type batchID struct {
	origin contract.LedgerOrigin
	seq    uint64
}

// missingBatchIDs returns the IDs of at most limit stored batches that are not in
// have.
func (s *Store) missingBatchIDs(have []contract.LedgerBatchSet, limit int) []batchID {
	peerSets := make(map[contract.LedgerOrigin]SeqSet, len(have))
	for _, h := range have {
		peerSets[h.Origin] = h.Ranges
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []batchID
	for origin, set := range s.batchSets {
		for _, seq := range set.Minus(peerSets[origin], limit-len(out)) {
			out = append(out, batchID{origin: origin, seq: seq})
		}
	}
	return out
}

// readBatch returns a batch, or nil if it has expired. Its records are those of
// the current rows of its tasks, which may include merged records of other
// batches.
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

// maxExpiredPerTx is the maximum number of batches that one call of Expire removes.
const maxExpiredPerTx = 50

// Expire removes the oldest batches before cutoff, and those of their rows in which
// all records are older than cutoff. It removes at most maxExpiredPerTx batches, in
// one transaction, and reports whether more expired batches may be left.
func (s *Store) Expire(cutoff time.Time) (bool, error) {
	var expired []batchID
	err := s.db.Update(func(tx *bbolt.Tx) error {
		expired = expired[:0]
		for _, k := range expiredKeys(tx, cutoff) {
			if err := removeBatch(tx, k, cutoff); err != nil {
				return err
			}
			origin, seq, err := parseBatchKey(k[uint64Bytes:])
			if err != nil {
				return err
			}
			expired = append(expired, batchID{origin: origin, seq: seq})
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	s.removeFromBatchSets(expired)
	metrics.LedgerBatchesExpired.Add(int64(len(expired)))
	return len(expired) == maxExpiredPerTx, nil
}

// expiredKeys returns the oldest keys of byTimeBucket before cutoff, at most
// maxExpiredPerTx.
func expiredKeys(tx *bbolt.Tx, cutoff time.Time) [][]byte {
	var out [][]byte
	c := tx.Bucket(byTimeBucket).Cursor()
	for k, _ := c.First(); k != nil && len(out) < maxExpiredPerTx; k, _ = c.Next() {
		if int64(binary.BigEndian.Uint64(k)) >= cutoff.UnixNano() {
			break
		}
		out = append(out, append([]byte(nil), k...))
	}
	return out
}

// removeBatch removes the batch with the given key of byTimeBucket, and its rows
// that have expired.
func removeBatch(tx *bbolt.Tx, byTimeKey []byte, cutoff time.Time) error {
	key := byTimeKey[uint64Bytes:]
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
	return tx.Bucket(byTimeBucket).Delete(byTimeKey)
}

// removeRow removes a row unless it has a record that is not older than cutoff.
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

// removeFromBatchSets removes the batches from s.batchSets.
func (s *Store) removeFromBatchSets(ids []batchID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		remaining := s.batchSets[id.origin].Remove(id.seq)
		if len(remaining) == 0 {
			delete(s.batchSets, id.origin)
			continue
		}
		s.batchSets[id.origin] = remaining
	}
}
