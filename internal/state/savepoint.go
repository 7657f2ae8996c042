package state

// savepoint makes a change and undoes it if change returns false. Savepoints may
// be nested. Undone is what was recorded by recordUndo: rows, reservations and the
// index, but not IDs that were used.
func (s *Store) savepoint(change func() bool) bool {
	outer := s.undoLog
	var inner []func()
	s.undoLog = &inner
	ok := change()
	s.undoLog = outer
	if !ok {
		for i := len(inner) - 1; i >= 0; i-- {
			inner[i]()
		}
	} else if outer != nil {
		*outer = append(*outer, inner...)
	}
	return ok
}

// recordUndo records how to undo a change, while a savepoint is open.
func (s *Store) recordUndo(undo func()) {
	if s.undoLog != nil {
		*s.undoLog = append(*s.undoLog, undo)
	}
}
