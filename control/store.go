package control

import (
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"github.com/carawaylanding/carawaylanding/quorum"
)

// Store keeps the acceptor's state in the data folder. Each Save is synced
// before it returns.
type Store struct {
	db *bbolt.DB
}

var (
	quorumBucket = []byte("quorum")
	stateKey     = []byte("state")
)

// openTimeout bounds the wait for another process that holds the file.
const openTimeout = 2 * time.Second

// OpenStore opens or creates the store in dir.
func OpenStore(dir string) (*Store, error) {
	path := filepath.Join(dir, "control.db")
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, fmt.Errorf("%s is in use: stop the other carawayd with this data folder", path)
	}
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	return &Store{db: db}, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Load returns the state that was last saved.
func (s *Store) Load() (quorum.State, error) {
	var st quorum.State
	err := s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(quorumBucket)
		if b == nil {
			return nil
		}
		raw := b.Get(stateKey)
		if raw == nil {
			return nil
		}
		return msgpack.Unmarshal(raw, &st)
	})
	return st, err
}

// Save syncs the state.
func (s *Store) Save(st quorum.State) error {
	raw, err := msgpack.Marshal(&st)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(quorumBucket)
		if err != nil {
			return err
		}
		return b.Put(stateKey, raw)
	})
}
