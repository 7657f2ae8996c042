// Package kernel registers plug-ins, starts them for a role and runs the one
// select loop that all tasks share.
package kernel

import (
	"context"
	"sort"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"tealpond/internal/settings"
	"tealpond/internal/tracing"
)

// Killed is the cause of a context that ends without grace.
var Killed = errs.New("killed")

// Plug is one part of a daemon: it runs until its context ends.
type Plug interface {
	Run(ctx context.Context) error
}

// Base is what a role is built from.
type Base struct {
	Setting settings.File
	Log     log.Logger
	Life    string
	Reload  chan settings.File
	Trace   *tracing.Ring
	// Debug tells whether lines of that level are kept at all.
	Debug bool
	// Moves names the file that turns moving between clusters on.
	Moves string
}

// Maker builds the plug of a role.
type Maker struct {
	Role  string
	About string
	Moves bool // takes the file of moves
	Make  func(Base) (Plug, error)
}

var makers = map[string]Maker{}

// Register adds a role; a second one of that name is a broken invariant.
func Register(m Maker) {
	if _, ok := makers[m.Role]; ok {
		panic("kernel: role registered twice: " + m.Role)
	}
	makers[m.Role] = m
}

// Roles lists what was registered, by name.
func Roles() []Maker {
	var out []Maker
	for _, m := range makers {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Role < out[j].Role })
	return out
}

// Find gives the maker of a role.
func Find(role string) (Maker, bool) {
	m, ok := makers[role]
	return m, ok
}
