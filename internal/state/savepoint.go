package state

// savepoint calls change and rolls its changes back if it returns false. Savepoints may be
// nested. Only changes that were recorded with recordUndo are rolled back: rows,
// reservations and the scheduling index, but not the allocation of IDs.
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

// recordUndo records how to undo a change, if a savepoint is open.
func (s *Store) recordUndo(undo func()) {
	if s.undoLog != nil {
		*s.undoLog = append(*s.undoLog, undo)
	}
}
