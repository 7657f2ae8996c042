// Package daemon is the common base of tealpond's daemons: the registry of the roles
// that a process can run, the environment that a role gets, and the event loop. It
// imports no roles: they register themselves, and the command line starts one of them.
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

// ErrKilled is the cancellation cause of a context that simulates a killed process: the
// role then stops at once, without a graceful shutdown.
var ErrKilled = errors.New("killed")

// Role is the function that a daemon has in the cluster.
type Role interface {
	// Run runs the role until ctx ends. It returns an error only if the role can't
	// continue.
	Run(ctx context.Context) error
}

// Environment holds the dependencies of a role.
type Environment struct {
	Settings settings.File
	Log      log.Logger
	// ProcessID is a new random ID for each start of a daemon. It is unrelated to the
	// process ID of the operating system.
	ProcessID string
	// Reload receives the new settings whenever the settings file has changed.
	Reload chan settings.File
	Trace  *tracing.Ring
	// Debug reports whether log lines of level debug are written.
	Debug bool
	// FederationFile is the path of the file that enables federation; empty if
	// federation is off.
	FederationFile string
	// AfterSync, if not nil, is called after each sync of a server's storage, before the
	// sync is reported as complete. Simulations use it to model slow disks.
	AfterSync func()
}

// RoleSpec describes a role and how to create it.
type RoleSpec struct {
	Name                  string // also the name of the subcommand
	Description           string // for the help text
	AcceptsFederationFile bool
	New                   func(Environment) (Role, error)
}

var roleSpecs = map[string]RoleSpec{}

// Register adds a role. It must only be called by init functions. It panics if a role
// of that name is already registered.
func Register(spec RoleSpec) {
	if _, ok := roleSpecs[spec.Name]; ok {
		panic("daemon: role registered twice: " + spec.Name)
	}
	roleSpecs[spec.Name] = spec
}

// Roles returns the registered roles, sorted by name.
func Roles() []RoleSpec {
	var specs []RoleSpec
	for _, name := range slices.Sorted(maps.Keys(roleSpecs)) {
		specs = append(specs, roleSpecs[name])
	}
	return specs
}

// FindRole returns the role with the given name, and false if there is none.
func FindRole(name string) (RoleSpec, bool) {
	spec, ok := roleSpecs[name]
	return spec, ok
}
