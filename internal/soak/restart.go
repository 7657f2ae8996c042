package soak

import (
	"context"
	"syscall"
	"time"

	"tealpond/internal/daemon"
	"tealpond/internal/localcluster"
)

// signal sends a signal to a daemon; one that ends by it is started again.
func (r *run) signal(ctx context.Context, name string, signal syscall.Signal) {
	node, err := r.cluster.Daemon(name)
	if err != nil {
		return
	}
	r.ledger.AddAction(Action{At: time.Now(), Daemon: name, What: signal.String(), Signal: signal})
	if err := r.cluster.Signal(name, signal); err != nil {
		r.note(name, err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving[name] || signal == syscall.SIGSTOP || signal == syscall.SIGCONT {
		return
	}
	r.leaving[name] = true
	ended := node.Exited()
	r.restart.Go(func() { r.startAgain(ctx, node, ended) })
}

// startAgain starts a daemon again if it ends within the grace time.
func (r *run) startAgain(ctx context.Context, node *localcluster.Daemon, ended <-chan struct{}) {
	defer func() {
		r.mu.Lock()
		r.leaving[node.Name] = false
		r.mu.Unlock()
	}()
	select {
	case <-ended:
	case <-time.After(r.options.Grace):
		// It was a signal that doesn't end it, or it outlives its time.
		r.endOverdue(node)
		return
	case <-ctx.Done():
		return
	}
	daemon.Pause(ctx, restartPause)
	if err := node.Restart(); err != nil {
		r.note(node.Name, err.Error())
		return
	}
	r.note(node.Name, "is started")
	r.mu.Lock()
	wanted := r.hangups[node.Name]
	delete(r.hangups, node.Name)
	r.mu.Unlock()
	if wanted {
		r.hangUpAtStart(ctx, node.Name)
	}
}

// endOverdue kills a process that was told to end and hasn't within the grace time, as its
// operators would.
func (r *run) endOverdue(node *localcluster.Daemon) {
	for _, action := range r.ledger.Snapshot(nil).Actions {
		told := action.Daemon == node.Name && action.Signal == syscall.SIGTERM && action.At.After(node.StartedAt())
		if told && time.Since(action.At) >= r.options.Grace {
			r.note(node.Name, overdueNote)
			_ = r.cluster.Signal(node.Name, syscall.SIGKILL)
			return
		}
	}
}

// overdueNote marks a daemon that was killed since its time was over.
const overdueNote = "has not ended within its grace time and is killed"

// hangUpAtStart sends SIGHUPs to a process that has just been started.
func (r *run) hangUpAtStart(ctx context.Context, name string) {
	daemon.Pause(ctx, startTime)
	for range hangupsAtStart {
		r.ledger.AddAction(Action{At: time.Now(), Daemon: name, What: syscall.SIGHUP.String(), Signal: syscall.SIGHUP})
		_ = r.cluster.Signal(name, syscall.SIGHUP)
		daemon.Pause(ctx, hangupGap)
	}
}
