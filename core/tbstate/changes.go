package tbstate

// RecordKind tells what sort of record changed.
type RecordKind uint8

// Kinds of record that entries follow.
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

// maxChanges bounds how far back an entry can catch up without a full view.
const maxChanges = 20_000

// changeLog keeps the newest changes in order of their index.
type changeLog struct {
	all []Change
	// from is the index after which all changes are kept.
	from uint64
}

func (l *changeLog) add(c Change) {
	l.all = append(l.all, c)
	if len(l.all) >= 2*maxChanges {
		drop := len(l.all) - maxChanges
		l.from = l.all[drop-1].Index
		l.all = append([]Change(nil), l.all[drop:]...)
	}
}

func (s *State) touch(kind RecordKind, id string) {
	s.changes.add(Change{Index: s.Applied, Kind: kind, ID: id})
}

// ChangesSince returns each record that changed after index, or false when that is not known.
func (s *State) ChangesSince(index uint64) ([]Change, bool) {
	if index < s.changes.from || index > s.Applied {
		return nil, false
	}
	all := s.changes.all
	lo := len(all)
	for lo > 0 && all[lo-1].Index > index {
		lo--
	}
	seen := make(map[Change]bool, len(all)-lo)
	var changed []Change
	for _, c := range all[lo:] {
		c.Index = 0
		if !seen[c] {
			seen[c] = true
			changed = append(changed, c)
		}
	}
	return changed, true
}
