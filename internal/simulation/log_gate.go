package simulation

import (
	"sync"

	"github.com/go-kit/log"
)

// gate blocks the callers of wait while it is closed. The zero value is open.
type gate struct {
	mu     sync.Mutex
	closed chan struct{} // nil while open
}

func (g *gate) wait() {
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

// gatedLogger is a logger that blocks its callers while its gate is closed.
type gatedLogger struct {
	gate   *gate
	logger log.Logger
}

func (g gatedLogger) Log(kv ...any) error {
	g.gate.wait()
	return g.logger.Log(kv...)
}
