package dispatch

import (
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Grant is an agent's grant to one entry: Slots in all under Epoch.
type Grant struct {
	Entry contract.HostID
	Epoch uint64
	Slots int
}

// Shares splits one worker's slots between the entries that are linked to its
// agent. Each change of the entries begins an epoch with an even split, so
// that credits of an entry that is gone, and loans that were lost, come back.
// Entries shift credits among themselves; the agent takes no part in it.
type Shares struct {
	slots   int
	turn    int
	epoch   uint64
	entries []contract.HostID
	granted map[contract.HostID]int
	// orphans is the number of slots that tasks of entries now gone take.
	orphans map[contract.HostID]int
	reset   time.Time
}

// minResetGap bounds how often entries can begin an epoch.
const minResetGap = time.Second

// NewShares returns the shares of a worker with the number of slots. The turn
// decides which entry gets the slots that are left over by an even split; it
// should differ between workers.
func NewShares(slots, turn int) *Shares {
	return &Shares{slots: slots, turn: turn, granted: make(map[contract.HostID]int), orphans: make(map[contract.HostID]int)}
}

// EntryUp adds an entry, or one that came back, and returns the new grants.
func (s *Shares) EntryUp(e contract.HostID) []Grant {
	i, found := slices.BinarySearch(s.entries, e)
	if !found {
		s.entries = slices.Insert(s.entries, i, e)
	}
	delete(s.orphans, e)
	return s.split()
}

// EntryDown removes an entry whose tasks still take the number of slots, and
// returns the new grants.
func (s *Shares) EntryDown(e contract.HostID, running int) []Grant {
	i, found := slices.BinarySearch(s.entries, e)
	if !found {
		return nil
	}
	s.entries = slices.Delete(s.entries, i, i+1)
	if running > 0 {
		s.orphans[e] = running
	}
	return s.split()
}

// Done returns the grants after a task of the entry ended: none unless the
// entry is gone.
func (s *Shares) Done(e contract.HostID, slots int) []Grant {
	slots = min(slots, s.orphans[e])
	if slots <= 0 {
		return nil
	}
	s.orphans[e] -= slots
	if len(s.entries) == 0 {
		return nil
	}
	var least contract.HostID
	for i, e := range s.entries {
		if i == 0 || s.granted[e] < s.granted[least] {
			least = e
		}
	}
	s.granted[least] += slots
	return []Grant{{Entry: least, Epoch: s.epoch, Slots: s.granted[least]}}
}

// Reset begins an epoch on an entry's request, unless one began a moment ago.
func (s *Shares) Reset(now time.Time) []Grant {
	if now.Sub(s.reset) < minResetGap {
		return nil
	}
	s.reset = now
	return s.split()
}

// Epoch returns the epoch in force.
func (s *Shares) Epoch() uint64 { return s.epoch }

// split begins an epoch.
func (s *Shares) split() []Grant {
	s.epoch++
	clear(s.granted)
	n := len(s.entries)
	if n == 0 {
		return nil
	}
	slots := s.slots
	for _, o := range s.orphans {
		slots -= o
	}
	slots = max(0, slots)
	out := make([]Grant, 0, n)
	for i, e := range s.entries {
		index := (i + s.turn) % n
		s.granted[e] = splitQuota(slots, index, n)
		out = append(out, Grant{Entry: e, Epoch: s.epoch, Slots: s.granted[e]})
	}
	return out
}
