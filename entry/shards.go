package entry

import (
	"hash/maphash"
	"sync"

	"github.com/carawaylanding/carawaylanding/contract"
)

const jobShardCount = 64

// jobShards holds the single requests in progress, and the jobs that are in
// progress or whose state is still kept, by job ID. It is sharded to reduce lock
// contention.
type jobShards struct {
	seed   maphash.Seed
	shards [jobShardCount]jobShard
}

type jobShard struct {
	mu   sync.Mutex // guards byID
	byID map[contract.JobID]workItem
}

func (s *jobShards) init() {
	s.seed = maphash.MakeSeed()
	for i := range s.shards {
		s.shards[i].byID = make(map[contract.JobID]workItem)
	}
}

func (s *jobShards) shard(id contract.JobID) *jobShard {
	return &s.shards[maphash.String(s.seed, string(id))%jobShardCount]
}

func (s *jobShards) get(id contract.JobID) workItem {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.byID[id]
}

// compareAndSwap stores item under id if the current value is old, which is nil if
// id is not in use. It reports whether it stored item.
func (s *jobShards) compareAndSwap(id contract.JobID, old, item workItem) bool {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.byID[id] != old {
		return false
	}
	sh.byID[id] = item
	return true
}

// remove deletes item, unless another value is stored under id.
func (s *jobShards) remove(id contract.JobID, item workItem) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.byID[id] == item {
		delete(sh.byID, id)
	}
}

// all returns all jobs and single requests. The shards are read one after the
// other, so the result is not a consistent snapshot.
func (s *jobShards) all() []workItem {
	var out []workItem
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for _, item := range sh.byID {
			out = append(out, item)
		}
		sh.mu.Unlock()
	}
	return out
}
