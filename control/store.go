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

// FileStore keeps the acceptor's state in the data folder. Each record has a
// checksum. It is not safe for concurrent use.
type FileStore struct {
	path string
	db   *bbolt.DB
	// saved is the ballot of the value in the file.
	saved contract.Ballot
}

var (
	quorumBucket = []byte("quorum")
	promiseKey   = []byte("promise")
	valueKey     = []byte("value")
)

// promiseRecord is the small part of the state, that each prepare changes.
type promiseRecord struct {
	Disk     contract.DiskID
	Voter    bool
	Promised contract.Ballot
	Accepted contract.Ballot
}

// valueRecord is the large part of the state.
type valueRecord struct {
	Accepted contract.Ballot
	Value    []byte
}

// openTimeout bounds the wait for another process that holds the file.
const openTimeout = 2 * time.Second

// fileName is the name of the store's file in the data folder.
const fileName = "control.db"

// CorruptError says that a store's file does not hold what was written.
type CorruptError struct {
	Path  string
	Cause error
}

// Error names the remedy.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is torn or corrupt (%v): stop the host, move the file away, start the host with the empty folder, and run carawayctl member replace for it", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// OpenStore opens or creates the store in dir.
func OpenStore(dir string) (s *FileStore, err error) {
	path := filepath.Join(dir, fileName)
	defer guard(path, &err)()
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

// guard turns a fault on a page beyond the end of a torn file, and a panic on
// a page that is not well formed, into a CorruptError. The returned function
// must be deferred.
func guard(path string, err *error) func() {
	before := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(before)
		if p := recover(); p != nil {
			*err = &CorruptError{Path: path, Cause: fmt.Errorf("%v", p)}
		}
	}
}

// Close closes the file.
func (s *FileStore) Close() error { return s.db.Close() }

// Load returns the state that was last saved.
func (s *FileStore) Load() (st quorum.AcceptorState, err error) {
	defer guard(s.path, &err)()
	var small promiseRecord
	var large valueRecord
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(quorumBucket)
		if b == nil {
			return nil
		}
		return errors.Join(open(b.Get(promiseKey), &small), open(b.Get(valueKey), &large))
	})
	if err == nil && small.Accepted != large.Accepted {
		err = errors.New("its records are of two times")
	}
	if err != nil {
		return quorum.AcceptorState{}, &CorruptError{Path: s.path, Cause: err}
	}
	s.saved = large.Accepted
	return quorum.AcceptorState{Disk: small.Disk, Voter: small.Voter, Promised: small.Promised, Accepted: small.Accepted, Value: large.Value}, nil
}

// Save syncs the state.
func (s *FileStore) Save(st quorum.AcceptorState) (err error) {
	defer guard(s.path, &err)()
	small, err := seal(&promiseRecord{Disk: st.Disk, Voter: st.Voter, Promised: st.Promised, Accepted: st.Accepted})
	if err != nil {
		return err
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(quorumBucket)
		if err != nil {
			return err
		}
		if err := b.Put(promiseKey, small); err != nil {
			return err
		}
		if st.Accepted == s.saved {
			return nil
		}
		large, err := seal(&valueRecord{Accepted: st.Accepted, Value: st.Value})
		if err != nil {
			return err
		}
		return b.Put(valueKey, large)
	})
	if err != nil {
		return err
	}
	s.saved = st.Accepted
	return nil
}

// checksumBytes is the length of the checksum before each record.
const checksumBytes = 4

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// seal encodes a record behind its checksum.
func seal(v any) ([]byte, error) {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		return nil, err
	}
	out := binary.BigEndian.AppendUint32(make([]byte, 0, checksumBytes+len(raw)), crc32.Checksum(raw, checksumTable))
	return append(out, raw...), nil
}

// open decodes a record that seal encoded; nil leaves v as it is.
func open(raw []byte, v any) error {
	if raw == nil {
		return nil
	}
	if len(raw) < checksumBytes {
		return errors.New("a record is cut short")
	}
	if crc32.Checksum(raw[checksumBytes:], checksumTable) != binary.BigEndian.Uint32(raw) {
		return errors.New("a record has another checksum")
	}
	return msgpack.Unmarshal(raw[checksumBytes:], v)
}

// FailedStore stands for a store that could not be opened: the host that has
// it does not vote.
type FailedStore struct{ Err error }

// Load implements Store.
func (s FailedStore) Load() (quorum.AcceptorState, error) { return quorum.AcceptorState{}, s.Err }

// Save implements Store.
func (s FailedStore) Save(quorum.AcceptorState) error { return s.Err }
