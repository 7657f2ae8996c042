package simulation

import (
	"sync"

	"github.com/go-kit/log"
)

// gate holds up whoever passes while it is closed. The zero value is open.
type gate struct {
	mu     sync.Mutex
	closed chan struct{} // nil while open
}

func (g *gate) pass() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

func (g *gate) close() {
	g.mu.Lock()
	g.closed = make(chan struct{})
	g.mu.Unlock()
}

func (g *gate) open() {
	g.mu.Lock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
	g.mu.Unlock()
}

// gatedLogger is a logger whose lines wait at a gate, and their writers with them.
type gatedLogger struct {
	gate   *gate
	logger log.Logger
}

func (g gatedLogger) Log(kv ...any) error {
	g.gate.pass()
	return g.logger.Log(kv...)
}
