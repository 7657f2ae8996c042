// Package daemon registers plug-ins, starts them for a role and runs the one
// select loop that all tasks share.
package daemon

import (
	"context"
	"sort"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"tealpond/internal/settings"
	"tealpond/internal/tracing"
)

// ErrKilled is the cause of a context that ends without grace.
var ErrKilled = errs.New("killed")

// Role is one part of a daemon: it runs until its context ends.
type Role interface {
	Run(ctx context.Context) error
}

// Environment is what a role is built from.
type Environment struct {
	Settings    settings.File
	Log         log.Logger
	Incarnation string
	Reload      chan settings.File
	Trace       *tracing.Ring
	// Debug tells whether lines of that level are kept at all.
	Debug bool
	// FederationFile names the file that turns moving between clusters on.
	FederationFile string
}

// RoleSpec builds the plug of a role.
type RoleSpec struct {
	Name                  string
	Description           string
	AcceptsFederationFile bool // takes the file of moves
	New                   func(Environment) (Role, error)
}

var roleSpecs = map[string]RoleSpec{}

// Register adds a role; a second one of that name is a broken invariant.
func Register(spec RoleSpec) {
	if _, ok := roleSpecs[spec.Name]; ok {
		panic("kernel: role registered twice: " + spec.Name)
	}
	roleSpecs[spec.Name] = spec
}

// Roles lists what was registered, by name.
func Roles() []RoleSpec {
	var specs []RoleSpec
	for _, spec := range roleSpecs {
		specs = append(specs, spec)
	}
	sort.Slice(specs, func(i, j int) bool { return specs[i].Name < specs[j].Name })
	return specs
}

// FindRole gives the maker of a role.
func FindRole(name string) (RoleSpec, bool) {
	spec, ok := roleSpecs[name]
	return spec, ok
}
