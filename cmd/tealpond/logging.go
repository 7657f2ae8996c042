package main

import "github.com/go-kit/log"

// logLevels maps each log level to its rank.
var logLevels = map[string]int{"debug": 0, "info": 1, "warn": 2, "error": 3}

// levelFilter drops log lines below a minimum level.
type levelFilter struct {
	next    log.Logger
	minimum int // rank of the lowest level that is written
}

// Log passes a line to the next logger unless its level is below the minimum. Lines without a
// level are always passed.
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
