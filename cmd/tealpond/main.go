// Command tealpond is a cluster scheduler for jobs: it runs the daemons of a cluster,
// one role a process, and the tools of its operators.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	_ "tealpond/internal/agent" // registers its role
	_ "tealpond/internal/api"   // registers its roles
	"tealpond/internal/daemon"
	"tealpond/internal/settings"
)

// version is set at release.
var version = "0.1.0-dev"

// Exit codes; docs/operate.md lists them for operators.
const (
	exitOK           = 0
	exitFault        = 1 // the daemon or the tool failed
	exitUsage        = 2 // the command line is not understood
	exitUnknown      = 3 // nothing is known of what was asked for
	exitUnreachable  = 4 // no daemon answered
	exitInconsistent = 5 // a job is missing or doubled
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// program is one call of the command line.
type program struct {
	signals        *processSignals
	stdout, stderr io.Writer
	commands       map[string]func() int // by name; each returns the exit code
	daemons        map[string]bool       // names of the commands that run a daemon
}

// run carries out a command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	// First of all, since a signal that comes before has its default effect.
	p := &program{signals: takeSignals(), stdout: stdout, stderr: stderr, commands: map[string]func() int{}, daemons: map[string]bool{}}
	app := kingpin.New("tealpond", "A cluster scheduler for jobs.")
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	app.Terminate(func(int) { panic(parserExit{}) })
	app.HelpFlag.Short('h')
	p.addRoles(app)
	versionCommand := app.Command("version", "Print the version.")
	p.commands[versionCommand.FullCommand()] = func() int {
		p.printf("tealpond %s\n", version)
		return exitOK
	}
	p.addTools(app)
	p.addTrial(app)
	name, err := parse(app, args)
	switch {
	case err != nil:
		p.reportf("%v", err)
		return exitUsage
	case name == "":
		return exitOK
	}
	if !p.daemons[name] {
		p.signals.release()
	}
	return p.commands[name]()
}

// parserExit is how kingpin leaves the parser when it has done all itself, such as
// printing the help.
type parserExit struct{}

// parse returns the name of the command that the arguments call; empty if nothing is
// left to do.
func parse(app *kingpin.Application, args []string) (name string, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			if _, ok := cause.(parserExit); !ok {
				panic(cause)
			}
		}
	}()
	return app.Parse(args)
}

// addRoles adds a command for each role that a daemon can have.
func (p *program) addRoles(app *kingpin.Application) {
	for _, role := range daemon.Roles() {
		command := app.Command(role.Name, "Run the role: "+role.Description+".")
		path := command.Flag("settings", "The settings file.").Envar(settings.PathEnvVar).String()
		level := command.Flag("log", "The least level that is logged: debug, info, warn or error.").
			Default("info").Enum("debug", "info", "warn", "error")
		endpoint := command.Flag("metrics", "PORT/PATH at which the daemon serves its figures as text (docs/operate.md); off without it.").String()
		federation := new(string)
		if role.AcceptsFederationFile {
			federation = command.Flag("moves", "The file that turns moving jobs between clusters on (docs/forecast.md); off without it.").String()
		}
		p.daemons[command.FullCommand()] = true
		p.commands[command.FullCommand()] = func() int { return p.runDaemon(role, daemonFlags{*path, *level, *federation, *endpoint}) }
	}
}

// printf writes to the standard output. Its errors are dropped, as there is nowhere
// left to report them.
func (p *program) printf(format string, args ...any) { _, _ = fmt.Fprintf(p.stdout, format, args...) }

// reportf writes one line to the standard error, as printf does.
func (p *program) reportf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.stderr, "tealpond: "+format+"\n", args...)
}
