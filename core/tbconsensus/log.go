package tbconsensus

import "fmt"

// entryLog holds the newest snapshot and the entries after it in memory.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
}

func newEntryLog(snapshot Snapshot, entries []Entry) entryLog {
	l := entryLog{snapshot: snapshot}
	for _, e := range entries {
		if e.Index > snapshot.Meta.Index {
			l.entries = append(l.entries, e)
		}
	}
	return l
}

func (l *entryLog) lastIndex() uint64 {
	return l.snapshot.Meta.Index + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 { return l.term(l.lastIndex()) }

// term returns the term of the entry at index, or 0 if the log does not contain it.
func (l *entryLog) term(index uint64) uint64 {
	snapshotIndex := l.snapshot.Meta.Index
	switch {
	case index == snapshotIndex:
		return l.snapshot.Meta.Term
	case index < snapshotIndex || index > l.lastIndex():
		return 0
	}
	return l.entries[index-snapshotIndex-1].Term
}

// slice returns the entries from lo to hi, inclusive.
func (l *entryLog) slice(lo, hi uint64) []Entry {
	snapshotIndex := l.snapshot.Meta.Index
	if lo <= snapshotIndex || hi > l.lastIndex() {
		panic(fmt.Sprintf("log slice [%d, %d] is out of range [%d, %d]", lo, hi, snapshotIndex+1, l.lastIndex()))
	}
	return l.entries[lo-snapshotIndex-1 : hi-snapshotIndex : hi-snapshotIndex]
}

// dataSize returns the size in bytes of the data of the entries from lo to hi, inclusive. Entries that are
// not in the log add nothing.
func (l *entryLog) dataSize(lo, hi uint64) int {
	lo = max(lo, l.snapshot.Meta.Index+1)
	hi = min(hi, l.lastIndex())
	size := 0
	for i := lo; i <= hi; i++ {
		size += len(l.entries[i-l.snapshot.Meta.Index-1].Data)
	}
	return size
}

// entriesUpToSize returns entries from lo on with at most maxBytes of data. If maxBytes is positive and the log
// has an entry at lo, it returns at least that entry, whatever its size.
func (l *entryLog) entriesUpToSize(lo uint64, maxBytes int) []Entry {
	if lo > l.lastIndex() || maxBytes <= 0 {
		return nil
	}
	all := l.slice(lo, l.lastIndex())
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

func (l *entryLog) append(entries []Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes all entries from index on.
func (l *entryLog) truncate(index uint64) {
	keptCount := index - l.snapshot.Meta.Index - 1
	l.entries = l.entries[:keptCount:keptCount]
}

// compact replaces the entries up to s.Meta.Index by s. It keeps later entries only if the log's entry
// at s.Meta.Index has the term of the snapshot. It ignores a snapshot that is not newer than the present one.
func (l *entryLog) compact(s Snapshot) {
	if s.Meta.Index <= l.snapshot.Meta.Index {
		return
	}
	var laterEntries []Entry
	if s.Meta.Index < l.lastIndex() && l.term(s.Meta.Index) == s.Meta.Term {
		laterEntries = append(laterEntries, l.slice(s.Meta.Index+1, l.lastIndex())...)
	}
	l.snapshot = s
	l.entries = laterEntries
}
