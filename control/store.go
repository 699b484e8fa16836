package control

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/quorum"
)

// FileStore is a Store in a file of the data folder. Each record has a checksum.
// It is not safe for concurrent use.
type FileStore struct {
	path string
	db   *bbolt.DB
	// savedBallot is the ballot of the value in the file. Save writes the value only
	// if its ballot differs.
	savedBallot contract.Ballot
}

var (
	quorumBucket = []byte("quorum")
	promiseKey   = []byte("promise")
	valueKey     = []byte("value")
)

// promiseRecord is the part of the state that each Save writes; a Prepare changes
// only this part. Like valueRecord, it is encoded with msgpack as a map: its field
// names are part of the stored format.
type promiseRecord struct {
	Disk     contract.DiskID
	Voter    bool
	Promised contract.Ballot
	Accepted contract.Ballot
}

// valueRecord is the part of the state that changes only when a new value is
// accepted. It is stored separately because it may be large.
type valueRecord struct {
	Accepted contract.Ballot
	Value    []byte
}

// openTimeout is how long to wait for a file that another process has locked.
const openTimeout = 2 * time.Second

// fileName is the name of the store's file in the data folder.
const fileName = "control.db"

// CorruptError means that the content of a store's file is not what was written.
type CorruptError struct {
	Path  string
	Cause error
}

// Error returns the path, the cause and what the operator must do.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is torn or corrupt (%v): stop the host, move the file away, start the host with the empty folder, and run carawayctl member replace for it", e.Path, e.Cause)
}

// Unwrap returns Cause, for errors.Is and errors.As.
func (e *CorruptError) Unwrap() error { return e.Cause }

// OpenStore opens the store in dir, and creates it if there is none. It returns a
// CorruptError if the file is damaged, and a different error if another process
// has locked the file.
func OpenStore(dir string) (s *FileStore, err error) {
	path := filepath.Join(dir, fileName)
	defer recoverCorruption(path, &err)()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, fmt.Errorf("%s is in use: stop the other carawayd with this data folder", path)
	}
	if errors.Is(err, berrors.ErrInvalid) || errors.Is(err, berrors.ErrChecksum) || errors.Is(err, berrors.ErrVersionMismatch) {
		return nil, &CorruptError{Path: path, Cause: err}
	}
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	return &FileStore{path: path, db: db}, nil
}

// recoverCorruption makes its caller return a CorruptError instead of crashing
// when bbolt reads a damaged file: a page beyond the end of a truncated file
// causes a memory fault, and a malformed page causes a panic. It turns memory
// faults into panics; the returned function, which the caller must defer,
// restores that setting and recovers.
func recoverCorruption(path string, err *error) func() {
	previous := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(previous)
		if p := recover(); p != nil {
			*err = &CorruptError{Path: path, Cause: fmt.Errorf("%v", p)}
		}
	}
}

// Close closes the file.
func (s *FileStore) Close() error { return s.db.Close() }

// Load returns the state that was last saved, or the zero state if there is none.
// It returns a CorruptError if the file is damaged.
func (s *FileStore) Load() (st quorum.AcceptorState, err error) {
	defer recoverCorruption(s.path, &err)()
	var promise promiseRecord
	var value valueRecord
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(quorumBucket)
		if b == nil {
			return nil
		}
		return errors.Join(decodeRecord(b.Get(promiseKey), &promise), decodeRecord(b.Get(valueKey), &value))
	})
	if err == nil && promise.Accepted != value.Accepted {
		err = errors.New("the promise and the value belong to different saves")
	}
	if err != nil {
		return quorum.AcceptorState{}, &CorruptError{Path: s.path, Cause: err}
	}
	s.savedBallot = value.Accepted
	return quorum.AcceptorState{Disk: promise.Disk, Voter: promise.Voter, Promised: promise.Promised, Accepted: promise.Accepted, Value: value.Value}, nil
}

// Save writes and syncs the state. The promise and the value change in one
// transaction.
func (s *FileStore) Save(st quorum.AcceptorState) (err error) {
	defer recoverCorruption(s.path, &err)()
	promise, err := encodeRecord(&promiseRecord{Disk: st.Disk, Voter: st.Voter, Promised: st.Promised, Accepted: st.Accepted})
	if err != nil {
		return err
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(quorumBucket)
		if err != nil {
			return err
		}
		if err := b.Put(promiseKey, promise); err != nil {
			return err
		}
		if st.Accepted == s.savedBallot {
			return nil
		}
		value, err := encodeRecord(&valueRecord{Accepted: st.Accepted, Value: st.Value})
		if err != nil {
			return err
		}
		return b.Put(valueKey, value)
	})
	if err != nil {
		return err
	}
	s.savedBallot = st.Accepted
	return nil
}

// checksumBytes is the length of the checksum before each record.
const checksumBytes = 4

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord returns the CRC-32C checksum of the encoded record, followed by the
// encoded record.
func encodeRecord(v any) ([]byte, error) {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		return nil, err
	}
	out := binary.BigEndian.AppendUint32(make([]byte, 0, checksumBytes+len(raw)), crc32.Checksum(raw, checksumTable))
	return append(out, raw...), nil
}

// decodeRecord checks and decodes a record that encodeRecord returned. If raw is
// nil, it leaves v unchanged.
func decodeRecord(raw []byte, v any) error {
	if raw == nil {
		return nil
	}
	if len(raw) < checksumBytes {
		return errors.New("a record is truncated")
	}
	if crc32.Checksum(raw[checksumBytes:], checksumTable) != binary.BigEndian.Uint32(raw) {
		return errors.New("the checksum of a record does not match")
	}
	return msgpack.Unmarshal(raw[checksumBytes:], v)
}

// FailedStore is the Store of a host whose file could not be opened: each call
// returns Err, so the host does not vote.
type FailedStore struct{ Err error }

// Load returns Err.
func (s FailedStore) Load() (quorum.AcceptorState, error) { return quorum.AcceptorState{}, s.Err }

// Save returns Err.
func (s FailedStore) Save(quorum.AcceptorState) error { return s.Err }
