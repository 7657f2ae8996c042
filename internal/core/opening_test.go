package core

import (
	"context"
	"path/filepath"
	"testing"

	"github.com/go-kit/log"
	bolt "go.etcd.io/bbolt"

	"tealpond/internal/discovery"
	"tealpond/internal/kernel"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
	"tealpond/internal/storage"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

// events is a log that hands out the event of each line.
type events chan string

func (e events) Log(kv ...any) error {
	for i := 0; i+1 < len(kv); i += 2 {
		if kv[i] == "event" {
			e <- kv[i+1].(string)
		}
	}
	return nil
}

// A disk that does not serve must not end the daemon, cost it its identity or
// keep it from answering; it says so, and starts once the disk serves.
func TestDaemonWaitsForItsDisk(t *testing.T) {
	dir := t.TempDir()
	opened, held, _, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	_ = opened.Close()
	other, err := bolt.Open(filepath.Join(dir, "tealpond.db"), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	said := make(events, 1000)
	b := kernel.Base{Setting: settings.File{NodeName: "a", IPAddress: "127.0.0.1", InnerPortRange: []int{1, 9}, DataDir: dir, LossCounts: true},
		Log: log.Logger(said), Trace: tracing.NewRing(16)}
	seek := discovery.NewClient(b.Log, "", nil, nil, func(int64) {}, nil)
	c, err := New(b, seek)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	done := make(chan struct{})
	go func() {
		_ = c.Run(ctx)
		close(done)
	}()
	wait := func(event string) {
		for e := range said {
			if e == event {
				return
			}
		}
	}
	ask := func(kind string) rpc.Response {
		got := make(chan rpc.Response, 1)
		c.Handle(rpc.Request{Kind: kind}, func(a rpc.Response) { got <- a })
		return <-got
	}
	wait("disk.waits")
	var v rpc.LeaderInfo
	if a := ask(rpc.KindLeader); a.Code != 200 || transport.Decode(a.Body, &v) != nil || v.IsLeader {
		t.Errorf("%+v %+v", a, v)
	}
	if a := ask(rpc.KindGetConfig); a.Code != rpc.CodeNotLeader {
		t.Errorf("%+v", a)
	}
	if c.Opened() {
		t.Error("ready without a disk")
	}
	_ = other.Close()
	wait("core.start")
	got := make(chan string, 1)
	c.Handle(rpc.Request{Kind: askState}, func(rpc.Response) { got <- c.self.ID })
	if id := <-got; id != held.ID || !c.Opened() {
		t.Errorf("identity %s, was %s", id, held.ID)
	}
	stop()
	<-done
}
