package dispatch

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Grant is an agent's grant of slot credits to one entry. Slots is the total
// under Epoch, not an increment.
type Grant struct {
	Entry contract.HostID
	Epoch uint64
	Slots int
}

// Shares splits one worker's slots between the entries that are linked to its
// agent. Each change of the entries begins a new epoch with an even split,
// which recovers the credits of departed entries and of lost loans. Entries
// lend credits to each other directly, without the agent.
type Shares struct {
	workerSlots     int
	remainderOffset int
	epoch           uint64
	entries         []contract.HostID // sorted
	granted         map[contract.HostID]int
	// departedSlots holds the number of slots that tasks of each departed entry
	// still use.
	departedSlots map[contract.HostID]int
	lastReset     time.Time
}

// minResetInterval is the minimum time between two epochs begun by Reset.
const minResetInterval = time.Second

// NewShares returns the shares of a worker with the given number of slots and
// no entries. The remainder offset determines which entries get the remainder
// of an even split; it should differ between workers, so that no entry gets the
// remainder everywhere.
func NewShares(slots, remainderOffset int) *Shares {
	return &Shares{workerSlots: slots, remainderOffset: remainderOffset, granted: make(map[contract.HostID]int), departedSlots: make(map[contract.HostID]int)}
}

// EntryUp adds an entry that was linked, for the first time or again. It begins
// an epoch and returns the epoch's grants.
func (s *Shares) EntryUp(e contract.HostID) []Grant {
	i, found := slices.BinarySearch(s.entries, e)
	if !found {
		s.entries = slices.Insert(s.entries, i, e)
	}
	delete(s.departedSlots, e)
	return s.startEpoch()
}

// EntryDown removes an entry whose link was lost and whose tasks still use the
// given number of slots. It begins an epoch and returns the epoch's grants, or
// returns nil if the entry is not linked.
func (s *Shares) EntryDown(e contract.HostID, usedSlots int) []Grant {
	i, found := slices.BinarySearch(s.entries, e)
	if !found {
		return nil
	}
	s.entries = slices.Delete(s.entries, i, i+1)
	if usedSlots > 0 {
		s.departedSlots[e] = usedSlots
	}
	return s.startEpoch()
}

// TaskEnded records that a task of the entry released slots. If the entry has
// departed, it grants them to the linked entry with the fewest granted slots and
// returns that grant. It returns nil if the entry has not departed, or if no
// entry is linked.
func (s *Shares) TaskEnded(e contract.HostID, slots int) []Grant {
	slots = min(slots, s.departedSlots[e])
	if slots <= 0 {
		return nil
	}
	s.departedSlots[e] -= slots
	if len(s.entries) == 0 {
		return nil
	}
	var least contract.HostID
	for i, id := range s.entries {
		if i == 0 || s.granted[id] < s.granted[least] {
			least = id
		}
	}
	s.granted[least] += slots
	return []Grant{{Entry: least, Epoch: s.epoch, Slots: s.granted[least]}}
}

// Reset begins an epoch at the request of an entry that may have lost a loan,
// and returns the epoch's grants. Within minResetInterval of the last reset, it
// does nothing and returns nil.
func (s *Shares) Reset(now time.Time) []Grant {
	if now.Sub(s.lastReset) < minResetInterval {
		return nil
	}
	s.lastReset = now
	return s.startEpoch()
}

// Epoch returns the current epoch.
func (s *Shares) Epoch() uint64 { return s.epoch }

// startEpoch begins an epoch and returns its grants: an even split of the slots
// that no task of a departed entry uses.
func (s *Shares) startEpoch() []Grant {
	s.epoch++
	clear(s.granted)
	n := len(s.entries)
	if n == 0 {
		return nil
	}
	slots := s.workerSlots
	for _, used := range s.departedSlots {
		slots -= used
	}
	slots = max(0, slots)
	grants := make([]Grant, 0, n)
	for i, e := range s.entries {
		index := (i + s.remainderOffset) % n
		s.granted[e] = evenShare(slots, index, n)
		grants = append(grants, Grant{Entry: e, Epoch: s.epoch, Slots: s.granted[e]})
	}
	return grants
}
