package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func contextUntil(stop <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// residentMB returns the resident memory of a process, in MB.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// enforceMemory kills a server that goes over the memory of its settings, and starts it again after a
// short delay, as the pages say of the machines.
func (r *run) enforceMemory(limitMB int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for n := 1; n <= 3; n++ {
			d := r.daemon(n)
			select {
			case <-d.Exited():
				time.Sleep(300 * time.Millisecond)
				r.note("machine: node-%d is started again", n)
				_ = d.Restart()
				continue
			default:
			}
			if used := residentMB(d.ProcessID()); used > limitMB {
				r.note("machine: node-%d holds %d MB, over its memoryMb of %d, and is killed", n, used, limitMB)
				_ = r.cluster.Signal(d.Name, syscall.SIGKILL)
			}
		}
	}
}
