package entry

import (
	"hash/maphash"
	"sync"

	"github.com/carawaylanding/carawaylanding/contract"
)

const jobShardCount = 64

// jobShards holds the work in progress by job ID.
type jobShards struct {
	seed   maphash.Seed
	shards [jobShardCount]jobShard
}

type jobShard struct {
	mu   sync.Mutex // guards byID
	byID map[contract.JobID]active
}

func (s *jobShards) init() {
	s.seed = maphash.MakeSeed()
	for i := range s.shards {
		s.shards[i].byID = make(map[contract.JobID]active)
	}
}

func (s *jobShards) shard(id contract.JobID) *jobShard {
	return &s.shards[maphash.String(s.seed, string(id))%jobShardCount]
}

func (s *jobShards) get(id contract.JobID) active {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.byID[id]
}

// swap replaces old, which is nil where id is free, and reports false where
// another is stored under id.
func (s *jobShards) swap(id contract.JobID, old, a active) bool {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.byID[id] != old {
		return false
	}
	sh.byID[id] = a
	return true
}

// remove drops a, unless another has taken its place.
func (s *jobShards) remove(id contract.JobID, a active) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.byID[id] == a {
		delete(sh.byID, id)
	}
}

// all returns the work in progress at some time during the call.
func (s *jobShards) all() []active {
	var out []active
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
