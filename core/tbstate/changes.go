package tbstate

// RecordKind is the kind of a record that changed.
type RecordKind uint8

// Kinds of records that are replicated to entries.
const (
	BundleRecord RecordKind = iota + 1
	SessionRecord
	RunnerRecord
	WorkerRecord
	TaskRecord
)

// Change names a record that changed at a log index.
type Change struct {
	Index uint64
	Kind  RecordKind
	ID    string
}

// maxLoggedChanges is how many changes an entry may be behind and still be certain to catch up
// without a full view.
const maxLoggedChanges = 20_000

// changeLog holds the latest changes in order of their index.
type changeLog struct {
	changes []Change
	// from is the index after which the log is complete.
	from uint64
}

func (l *changeLog) add(c Change) {
	l.changes = append(l.changes, c)
	if len(l.changes) >= 2*maxLoggedChanges {
		drop := len(l.changes) - maxLoggedChanges
		l.from = l.changes[drop-1].Index
		l.changes = append([]Change(nil), l.changes[drop:]...)
	}
}

func (s *State) recordChange(kind RecordKind, id string) {
	s.changeLog.add(Change{Index: s.Applied, Kind: kind, ID: id})
}

// ChangesSince returns one Change for each record that changed after index, without the index of the
// change: Change.Index is 0. It returns false
// if the change log does not reach back to index or if index has not been applied yet.
func (s *State) ChangesSince(index uint64) ([]Change, bool) {
	if index < s.changeLog.from || index > s.Applied {
		return nil, false
	}
	changes := s.changeLog.changes
	first := len(changes)
	for first > 0 && changes[first-1].Index > index {
		first--
	}
	seen := make(map[Change]bool, len(changes)-first)
	var changed []Change
	for _, c := range changes[first:] {
		c.Index = 0
		if !seen[c] {
			seen[c] = true
			changed = append(changed, c)
		}
	}
	return changed, true
}
