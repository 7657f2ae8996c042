// Command tealpond is a cluster scheduler for jobs and a gateway for API traffic. It runs the
// daemons of a cluster, one role per process, and the operators' tools.
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
	exitUsage        = 2 // the command line is invalid
	exitUnknown      = 3 // the requested item is not known
	exitUnreachable  = 4 // no daemon answered
	exitInconsistent = 5 // a job is missing or duplicated
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// program is one invocation of the command.
type program struct {
	signals        *processSignals
	stdout, stderr io.Writer
	commands       map[string]func() int // by command name; each returns the exit code
	daemons        map[string]bool       // names of commands that run a daemon
}

// run executes a command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	// Signals are captured first, since an earlier signal has its default effect.
	p := &program{signals: captureSignals(), stdout: stdout, stderr: stderr, commands: map[string]func() int{},
		daemons: map[string]bool{}}
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

// parserExit is the panic value with which kingpin leaves the parser when nothing is left
// to do, such as after printing the help.
type parserExit struct{}

// parse returns the name of the command to run, or "" if nothing is left to do.
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

// addRoles adds a command for each registered role.
func (p *program) addRoles(app *kingpin.Application) {
	for _, role := range daemon.Roles() {
		command := app.Command(role.Name, "Run the role: "+role.Description+".")
		path := command.Flag("settings", "The settings file.").Envar(settings.PathEnvVar).String()
		level := command.Flag("log", "Minimum log level: debug, info, warn or error.").
			Default("info").Enum("debug", "info", "warn", "error")
		endpoint := command.Flag("metrics",
			"PORT/PATH at which the daemon serves its metrics as text (docs/operate.md); off by default.").String()
		federation := new(string)
		if role.AcceptsFederationFile {
			federation = command.Flag("moves",
				"The file that enables moving jobs between clusters (docs/forecast.md); off by default.").String()
		}
		p.daemons[command.FullCommand()] = true
		p.commands[command.FullCommand()] = func() int { return p.runDaemon(role, daemonFlags{*path, *level, *federation, *endpoint}) }
	}
}

// printf writes to standard output. Errors are ignored, since they can't be reported
// anywhere.
func (p *program) printf(format string, args ...any) { _, _ = fmt.Fprintf(p.stdout, format, args...) }

// reportf writes one line to standard error. Errors are ignored, as in printf.
func (p *program) reportf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.stderr, "tealpond: "+format+"\n", args...)
}
