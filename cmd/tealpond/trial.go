package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tealpond/internal/trial"
)

// trialTimeout bounds the duration of a trial without --keep.
const trialTimeout = 5 * time.Minute

// addTrial adds the command that demonstrates a cluster on this machine.
func (p *program) addTrial(app *kingpin.Application) {
	command := app.Command("trial",
		"Start a small cluster on this machine, run jobs, use a lock and a key, and kill the leader.")
	directory := command.Flag("data",
		"An empty directory for settings, data and logs; by default a temporary one. It is removed at the end.").String()
	keep := command.Flag("keep", "Keep the cluster running until ctrl-C.").Bool()
	p.commands[command.FullCommand()] = func() int { return p.runTrial(*directory, *keep) }
}

// runTrial runs a trial and returns the exit code.
func (p *program) runTrial(directory string, keep bool) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if !keep {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, trialTimeout)
		defer cancel()
	}
	executable, err := os.Executable()
	if err == nil {
		directory, err = trialDirectory(directory)
	}
	if err != nil {
		return p.fail(err)
	}
	err = trial.Run(ctx, trial.Options{Program: executable, Directory: directory, Output: p.stdout, Keep: keep})
	if err != nil {
		return p.fail(err)
	}
	return exitOK
}

// errNotEmpty reports that the directory for a trial is not empty.
var errNotEmpty = errors.New("trial directory is not empty")

// trialDirectory returns the directory of a trial: the named one, which must be empty or not
// exist, or a new temporary one if the name is empty.
func trialDirectory(named string) (string, error) {
	if named == "" {
		return os.MkdirTemp("", "tealpond-trial-")
	}
	if err := os.MkdirAll(named, 0o700); err != nil {
		return "", err
	}
	entries, err := os.ReadDir(named)
	if err != nil {
		return "", err
	}
	if len(entries) > 0 {
		return "", errNotEmpty
	}
	return named, nil
}
