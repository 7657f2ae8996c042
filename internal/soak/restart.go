package soak

import (
	"context"
	"syscall"
	"time"

	"tealpond/internal/daemon"
	"tealpond/internal/localcluster"
)

// signal sends a signal to a daemon, and restarts the daemon if it exits because of it.
func (r *run) signal(ctx context.Context, name string, signal syscall.Signal) {
	node, err := r.cluster.Daemon(name)
	if err != nil {
		return
	}
	r.recorder.AddAction(Action{At: time.Now(), Daemon: name, What: signal.String(), Signal: signal})
	if err := r.cluster.Signal(name, signal); err != nil {
		r.recordAction(name, err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restarting[name] || signal == syscall.SIGSTOP || signal == syscall.SIGCONT {
		return
	}
	r.restarting[name] = true
	exited := node.Exited()
	r.background.Go(func() { r.restartDaemon(ctx, node, exited) })
}

// restartDaemon restarts a daemon after its process exits. If that does not happen within the grace
// period, it kills the process if it was sent SIGTERM, and returns without a restart.
func (r *run) restartDaemon(ctx context.Context, node *localcluster.Daemon, exited <-chan struct{}) {
	defer func() {
		r.mu.Lock()
		r.restarting[node.Name] = false
		r.mu.Unlock()
	}()
	select {
	case <-exited:
	case <-time.After(r.options.Grace):
		// The signal does not end the process, or the process exceeds its grace period.
		r.killOverdue(node)
		return
	case <-ctx.Done():
		return
	}
	daemon.Pause(ctx, restartPause)
	if err := node.Restart(); err != nil {
		r.recordAction(node.Name, err.Error())
		return
	}
	r.recordAction(node.Name, "restarted")
	r.mu.Lock()
	sendsHangups := r.hangupAfterRestart[node.Name]
	delete(r.hangupAfterRestart, node.Name)
	r.mu.Unlock()
	if sendsHangups {
		r.sendHangups(ctx, node.Name)
	}
}

// killOverdue kills a process that has not exited within the grace period after a SIGTERM, as its
// operators would.
func (r *run) killOverdue(node *localcluster.Daemon) {
	for _, action := range r.recorder.Snapshot(nil).Actions {
		terminated := action.Daemon == node.Name && action.Signal == syscall.SIGTERM && action.At.After(node.StartedAt())
		if terminated && time.Since(action.At) >= r.options.Grace {
			r.recordAction(node.Name, overdueText)
			_ = r.cluster.Signal(node.Name, syscall.SIGKILL)
			return
		}
	}
}

// overdueText is the recorded action for a process that is killed after its grace period.
const overdueText = "killed: did not exit within the grace period"

// sendHangups sends hangupCount SIGHUPs to a process that has just been started.
func (r *run) sendHangups(ctx context.Context, name string) {
	daemon.Pause(ctx, startupTime)
	for range hangupCount {
		r.recorder.AddAction(Action{At: time.Now(), Daemon: name, What: syscall.SIGHUP.String(), Signal: syscall.SIGHUP})
		_ = r.cluster.Signal(name, syscall.SIGHUP)
		daemon.Pause(ctx, hangupInterval)
	}
}
