package consensus

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

// entryLog is the part of the log since the last snapshot.
type entryLog struct {
	base    Snapshot
	entries []contract.LogEntry
	// synced is the index up to which the disk holds the log.
	synced uint64
	// groups are the entries that change the group, oldest first.
	groups []contract.LogEntry
}

func (l *entryLog) reset(s Snapshot) {
	l.base = s
	l.entries = nil
	l.groups = nil
	l.synced = s.Index
}

func (l *entryLog) last() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at the index, and whether it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base.Index:
		return l.base.Term, true
	case index < l.base.Index || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// append adds entries; one with a known index replaces it and all after it.
func (l *entryLog) append(es []contract.LogEntry) {
	for _, e := range es {
		if e.Index <= l.base.Index {
			continue
		}
		if e.Index <= l.last() {
			l.truncate(e.Index)
		}
		l.entries = append(l.entries, e)
		if e.Group != nil {
			l.groups = append(l.groups, e)
		}
	}
}

func (l *entryLog) truncate(from uint64) {
	l.entries = slices.Clone(l.entries[:from-l.base.Index-1])
	l.groups = slices.DeleteFunc(l.groups, func(e contract.LogEntry) bool { return e.Index >= from })
	l.synced = min(l.synced, from-1)
}

// slice returns the entries from lo to hi, both included.
func (l *entryLog) slice(lo, hi uint64) []contract.LogEntry {
	return l.entries[lo-l.base.Index-1 : hi-l.base.Index]
}

func (l *entryLog) newestGroup() (contract.LogGroup, uint64) {
	if n := len(l.groups); n > 0 {
		return *l.groups[n-1].Group, l.groups[n-1].Index
	}
	return l.base.Group, l.base.Index
}

func (l *entryLog) group(index uint64) contract.LogGroup {
	g := l.base.Group
	for _, e := range l.groups {
		if e.Index <= index {
			g = *e.Group
		}
	}
	return g
}

func (l *entryLog) compact(s Snapshot) {
	if s.Index <= l.base.Index {
		return
	}
	l.entries = slices.Clone(l.entries[s.Index-l.base.Index:])
	l.groups = slices.DeleteFunc(l.groups, func(e contract.LogEntry) bool { return e.Index <= s.Index })
	l.base = s
	l.synced = max(l.synced, s.Index)
}
