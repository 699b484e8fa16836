package entry

import (
	"hash/maphash"
	"sync"

	"github.com/carawaylanding/carawaylanding/contract"
)

const jobShardCount = 64

// jobShards holds the work in progress by job ID, in shards to reduce lock
// contention.
type jobShards struct {
	seed   maphash.Seed
	shards [jobShardCount]jobShard
}

type jobShard struct {
	mu   sync.Mutex // guards byID
	byID map[contract.JobID]activeWork
}

func (s *jobShards) init() {
	s.seed = maphash.MakeSeed()
	for i := range s.shards {
		s.shards[i].byID = make(map[contract.JobID]activeWork)
	}
}

func (s *jobShards) shard(id contract.JobID) *jobShard {
	return &s.shards[maphash.String(s.seed, string(id))%jobShardCount]
}

func (s *jobShards) get(id contract.JobID) activeWork {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.byID[id]
}

// compareAndSwap stores a under id if the current value is old, which is nil if
// id is not in use. It reports whether it stored a.
func (s *jobShards) compareAndSwap(id contract.JobID, old, a activeWork) bool {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.byID[id] != old {
		return false
	}
	sh.byID[id] = a
	return true
}

// remove deletes a, unless another value is stored under id.
func (s *jobShards) remove(id contract.JobID, a activeWork) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.byID[id] == a {
		delete(sh.byID, id)
	}
}

// all returns the work in progress. The shards are read one after the other, so
// the result is not a consistent snapshot.
func (s *jobShards) all() []activeWork {
	var out []activeWork
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for _, a := range sh.byID {
			out = append(out, a)
		}
		sh.mu.Unlock()
	}
	return out
}
