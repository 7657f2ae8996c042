package main

import "github.com/go-kit/log"

// logLevels are the levels of lines by their rank.
var logLevels = map[string]int{"debug": 0, "info": 1, "warn": 2, "error": 3}

// levelFilter drops lines under a level.
type levelFilter struct {
	next    log.Logger
	minimum int // the rank of the least level that is kept
}

// Log passes a line on unless it has a level under the least one.
func (l levelFilter) Log(keyvals ...any) error {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == "level" {
			if level, ok := keyvals[i+1].(string); ok && logLevels[level] < l.minimum {
				return nil
			}
			break
		}
	}
	return l.next.Log(keyvals...)
}
