// Command tealpond is a cluster scheduler for jobs.
package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"

	_ "tealpond/internal/agent"
	_ "tealpond/internal/api"
	"tealpond/internal/daemon"
	"tealpond/internal/settings"
	"tealpond/internal/tracing"
	"tealpond/internal/tuning"
)

// version is set at release.
var version = "0.1.0-dev"

// Exit codes.
const (
	exitOK    = 0
	exitFault = 1
	exitUsage = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("tealpond", "A cluster scheduler for jobs.")
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	code := exitOK
	app.Terminate(func(int) { panic(parserExit{}) })
	app.HelpFlag.Short('h')
	commands := map[string]func() int{}
	for _, role := range daemon.Roles() {
		command := app.Command(role.Name, "Run the role: "+role.Description+".")
		path := command.Flag("settings", "The settings file.").Envar(settings.PathEnvVar).String()
		level := command.Flag("log", "The least level that is logged: debug, info, warn or error.").Default("info").Enum("debug", "info", "warn", "error")
		moves := new(string)
		if role.AcceptsFederationFile {
			moves = command.Flag("moves", "The file that turns moving jobs between clusters on (docs/forecast.md); off without it.").String()
		}
		commands[command.FullCommand()] = func() int { return runDaemon(role, *path, *level, *moves, stderr) }
	}
	versionCommand := app.Command("version", "Print the version.")
	commands[versionCommand.FullCommand()] = func() int { fmt.Fprintln(stdout, "tealpond", version); return exitOK }
	addToolCommands(app, commands, stdout, stderr)
	func() {
		defer func() {
			if r := recover(); r != nil {
				if _, ok := r.(parserExit); !ok {
					panic(r)
				}
			}
		}()
		name, err := app.Parse(args)
		if err != nil {
			fmt.Fprintln(stderr, "tealpond:", err)
			code = exitUsage
			return
		}
		code = commands[name]()
	}()
	return code
}

// parserExit is how kingpin's own ends, such as help, leave the parser.
type parserExit struct{}

var logLevels = map[string]int{"debug": 0, "info": 1, "warn": 2, "error": 3}

// levelFilter drops lines under a level.
type levelFilter struct {
	next log.Logger
	min  int
}

func (l levelFilter) Log(kv ...any) error {
	for i := 0; i+1 < len(kv); i += 2 {
		if kv[i] == "level" {
			if s, ok := kv[i+1].(string); ok && logLevels[s] < l.min {
				return nil
			}
			break
		}
	}
	return l.next.Log(kv...)
}

func runDaemon(role daemon.RoleSpec, path, level, moves string, stderr io.Writer) int {
	file, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(stderr, "tealpond:", err)
		return exitFault
	}
	debug.SetMemoryLimit(int64(float64(file.Limits.MemoryMb) * tuning.MemoryLimitFraction * (1 << 20)))
	debug.SetGCPercent(tuning.GCPercent)
	var processID [6]byte
	_, _ = rand.Read(processID[:])
	logger := log.With(levelFilter{log.NewLogfmtLogger(log.NewSyncWriter(stderr)), logLevels[level]}, "node", file.NodeName, "role", role.Name)
	environment := daemon.Environment{Settings: file, Log: logger, Incarnation: hex.EncodeToString(processID[:]), Reload: make(chan settings.File, 1),
		Trace: tracing.NewRing(tuning.TraceRingLength), FederationFile: moves, Debug: level == "debug"}
	process, err := role.New(environment)
	if err != nil {
		fmt.Fprintln(stderr, "tealpond:", err)
		return exitFault
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go watchSettings(ctx, path, file, environment, logger)
	_ = logger.Log("level", "info", "event", "start", "version", version, "life", environment.Incarnation)
	if err := process.Run(ctx); err != nil {
		_ = logger.Log("level", "error", "event", "end", "why", err)
		return exitFault
	}
	_ = logger.Log("level", "info", "event", "end")
	return exitOK
}

// watchSettings takes over a changed settings file: after a SIGHUP, or when its time
// changes without one.
func watchSettings(ctx context.Context, path string, file settings.File, environment daemon.Environment, logger log.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ticker := time.NewTicker(tuning.SettingsPollInterval)
	defer ticker.Stop()
	last := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if modified := modTime(path); modified == last {
				continue
			}
		}
		last = modTime(path)
		changed, err := settings.Load(path)
		if err != nil {
			_ = logger.Log("level", "warn", "event", "settings.kept", "why", err)
			continue
		}
		_ = logger.Log("level", "info", "event", "settings.reread")
		select {
		case environment.Reload <- changed:
		default:
		}
	}
}

func modTime(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.ModTime().UnixNano()
}
