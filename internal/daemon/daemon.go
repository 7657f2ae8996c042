// Package daemon is what all daemons of tealpond share: the registry of the roles
// that a process can run, what a role is built from, and the event loop. It knows no
// role itself: roles register themselves, and the command line starts one of them.
package daemon

import (
	"context"
	"errors"
	"maps"
	"slices"

	"github.com/go-kit/log"

	"tealpond/internal/settings"
	"tealpond/internal/tracing"
)

// ErrKilled is the cause of a context that ends as if the process had been killed:
// a role then ends at once, and leaves nothing in order.
var ErrKilled = errors.New("killed")

// Role is the part of a daemon that a process runs.
type Role interface {
	// Run runs the role until ctx ends. An error is one that the role can't go on
	// with.
	Run(ctx context.Context) error
}

// Environment is what a role is built from.
type Environment struct {
	Settings settings.File
	Log      log.Logger
	// ProcessID is another one each time that a daemon is started; it is not the
	// operating system's.
	ProcessID string
	// Reload carries the settings whenever their file has changed.
	Reload chan settings.File
	Trace  *tracing.Ring
	// Debug reports whether lines of that level are kept at all.
	Debug bool
	// FederationFile is the path of the file that turns federation on; empty if
	// there is none.
	FederationFile string
	// AfterSync is called after each sync of a server's storage, before it counts; nil for
	// nothing. Simulations have slow disks by it.
	AfterSync func()
}

// RoleSpec describes a role and builds it.
type RoleSpec struct {
	Name                  string // of the subcommand, too
	Description           string // for the help text
	AcceptsFederationFile bool
	New                   func(Environment) (Role, error)
}

var roleSpecs = map[string]RoleSpec{}

// Register adds a role. It is called by init functions only, and panics if there is
// a role of that name already.
func Register(spec RoleSpec) {
	if _, ok := roleSpecs[spec.Name]; ok {
		panic("daemon: role registered twice: " + spec.Name)
	}
	roleSpecs[spec.Name] = spec
}

// Roles lists what was registered, by name.
func Roles() []RoleSpec {
	var specs []RoleSpec
	for _, name := range slices.Sorted(maps.Keys(roleSpecs)) {
		specs = append(specs, roleSpecs[name])
	}
	return specs
}

// FindRole returns the role of a name; false if there is none.
func FindRole(name string) (RoleSpec, bool) {
	spec, ok := roleSpecs[name]
	return spec, ok
}
