package consensus

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

// entryLog holds the last snapshot and the entries after it.
type entryLog struct {
	snapshot Snapshot
	entries  []contract.LogEntry
	// syncedIndex is the index up to which the log is synced to disk. It can be
	// before snapshot.Index: a snapshot from the leader replaces the log before it
	// is synced, and entries may be compacted before they are.
	syncedIndex uint64
	// groupEntries are the entries that change the group, oldest first.
	groupEntries []contract.LogEntry
}

func (l *entryLog) reset(s Snapshot) {
	l.snapshot = s
	l.entries = nil
	l.groupEntries = nil
	l.syncedIndex = 0
}

func (l *entryLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at the index. It returns false if the index
// is after the last entry or before the snapshot's index.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.snapshot.Index || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// append adds entries. An entry whose index is already in the log replaces the
// existing entry and all later ones; entries that the snapshot covers are skipped.
func (l *entryLog) append(es []contract.LogEntry) {
	for _, e := range es {
		if e.Index <= l.snapshot.Index {
			continue
		}
		if e.Index <= l.lastIndex() {
			l.truncate(e.Index)
		}
		l.entries = append(l.entries, e)
		if e.Group != nil {
			l.groupEntries = append(l.groupEntries, e)
		}
	}
}

// truncate removes the entry at index from and all later ones.
func (l *entryLog) truncate(from uint64) {
	l.entries = slices.Clone(l.entries[:from-l.snapshot.Index-1])
	l.groupEntries = slices.DeleteFunc(l.groupEntries, func(e contract.LogEntry) bool { return e.Index >= from })
	l.syncedIndex = min(l.syncedIndex, from-1)
}

// slice returns the entries from index lo to index hi, both inclusive.
func (l *entryLog) slice(lo, hi uint64) []contract.LogEntry {
	return l.entries[lo-l.snapshot.Index-1 : hi-l.snapshot.Index]
}

// newestGroup returns the newest group and the index of the entry or snapshot that
// holds it.
func (l *entryLog) newestGroup() (contract.LogGroup, uint64) {
	if n := len(l.groupEntries); n > 0 {
		return *l.groupEntries[n-1].Group, l.groupEntries[n-1].Index
	}
	return l.snapshot.Group, l.snapshot.Index
}

func (l *entryLog) groupAt(index uint64) contract.LogGroup {
	g := l.snapshot.Group
	for _, e := range l.groupEntries {
		if e.Index <= index {
			g = *e.Group
		}
	}
	return g
}

// compact replaces the entries up to s.Index by s. It does nothing if the log has a
// snapshot of that index or a later one.
func (l *entryLog) compact(s Snapshot) {
	if s.Index <= l.snapshot.Index {
		return
	}
	l.entries = slices.Clone(l.entries[s.Index-l.snapshot.Index:])
	l.groupEntries = slices.DeleteFunc(l.groupEntries, func(e contract.LogEntry) bool { return e.Index <= s.Index })
	l.snapshot = s
}
