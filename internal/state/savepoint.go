package state

// savepoint makes a change and takes all of it back if change returns false.
// Savepoints may be nested. What is taken back is what recordUndo was told:
// rows, reservations and the index, but not numbers that were given out.
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

// recordUndo notes how to take a change back, while a savepoint is open.
func (s *Store) recordUndo(undo func()) {
	if s.undoLog != nil {
		*s.undoLog = append(*s.undoLog, undo)
	}
}
