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
	"tealpond/internal/kernel"
	"tealpond/internal/setting"
	"tealpond/internal/tracing"
	"tealpond/internal/tune"
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

func run(args []string, out, bad io.Writer) int {
	app := kingpin.New("tealpond", "A cluster scheduler for jobs.")
	app.UsageWriter(out)
	app.ErrorWriter(bad)
	code := exitOK
	app.Terminate(func(int) { panic(quit{}) })
	app.HelpFlag.Short('h')
	jobs := map[string]func() int{}
	for _, m := range kernel.Roles() {
		cmd := app.Command(m.Role, "Run the role: "+m.About+".")
		path := cmd.Flag("settings", "The settings file.").Envar(setting.EnvName).String()
		level := cmd.Flag("log", "The least level that is logged: debug, info, warn or error.").Default("info").Enum("debug", "info", "warn", "error")
		moves := new(string)
		if m.Moves {
			moves = cmd.Flag("moves", "The file that turns moving jobs between clusters on (docs/foresee.md); off without it.").String()
		}
		jobs[cmd.FullCommand()] = func() int { return daemon(m, *path, *level, *moves, bad) }
	}
	v := app.Command("version", "Print the version.")
	jobs[v.FullCommand()] = func() int { fmt.Fprintln(out, "tealpond", version); return exitOK }
	addTools(app, jobs, out, bad)
	func() {
		defer func() {
			if r := recover(); r != nil {
				if _, ok := r.(quit); !ok {
					panic(r)
				}
			}
		}()
		name, err := app.Parse(args)
		if err != nil {
			fmt.Fprintln(bad, "tealpond:", err)
			code = exitUsage
			return
		}
		code = jobs[name]()
	}()
	return code
}

// quit is how kingpin's own ends, such as help, leave the parser.
type quit struct{}

var levels = map[string]int{"debug": 0, "info": 1, "warn": 2, "error": 3}

// leveled drops lines under a level.
type leveled struct {
	next log.Logger
	min  int
}

func (l leveled) Log(kv ...any) error {
	for i := 0; i+1 < len(kv); i += 2 {
		if kv[i] == "level" {
			if s, ok := kv[i+1].(string); ok && levels[s] < l.min {
				return nil
			}
			break
		}
	}
	return l.next.Log(kv...)
}

func daemon(m kernel.Maker, path, level, moves string, bad io.Writer) int {
	set, err := setting.Load(path)
	if err != nil {
		fmt.Fprintln(bad, "tealpond:", err)
		return exitFault
	}
	debug.SetMemoryLimit(int64(float64(set.Limits.MemoryMb) * tune.MemShare * (1 << 20)))
	debug.SetGCPercent(tune.GCPercent)
	var id [6]byte
	_, _ = rand.Read(id[:])
	lg := log.With(leveled{log.NewLogfmtLogger(log.NewSyncWriter(bad)), levels[level]}, "node", set.NodeName, "role", m.Role)
	b := kernel.Base{Setting: set, Log: lg, Life: hex.EncodeToString(id[:]), Reload: make(chan setting.Setting, 1),
		Trace: tracing.NewRing(tune.TraceMarks), Moves: moves, Debug: level == "debug"}
	p, err := m.Make(b)
	if err != nil {
		fmt.Fprintln(bad, "tealpond:", err)
		return exitFault
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reread(ctx, path, set, b, lg)
	_ = lg.Log("level", "info", "event", "start", "version", version, "life", b.Life)
	if err := p.Run(ctx); err != nil {
		_ = lg.Log("level", "error", "event", "end", "why", err)
		return exitFault
	}
	_ = lg.Log("level", "info", "event", "end")
	return exitOK
}

// reread takes over a changed settings file: after a SIGHUP, or when its time
// changes without one.
func reread(ctx context.Context, path string, set setting.Setting, b kernel.Base, lg log.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	t := time.NewTicker(tune.Reread)
	defer t.Stop()
	last := mod(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
			if m := mod(path); m == last {
				continue
			}
		}
		last = mod(path)
		n, err := setting.Load(path)
		if err != nil {
			_ = lg.Log("level", "warn", "event", "settings.kept", "why", err)
			continue
		}
		_ = lg.Log("level", "info", "event", "settings.reread")
		select {
		case b.Reload <- n:
		default:
		}
	}
}

func mod(path string) int64 {
	i, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return i.ModTime().UnixNano()
}
