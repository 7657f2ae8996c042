package server

import (
	"context"
	"path/filepath"
	"testing"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/discovery"
	"tealpond/internal/rpc"
	"tealpond/internal/storage"
	"tealpond/internal/transport"
)

// eventLog is a logger that sends the event name of each log line on a channel.
type eventLog chan string

func (e eventLog) Log(kv ...any) error {
	for i := 0; i+1 < len(kv); i += 2 {
		if kv[i] == "event" {
			e <- kv[i+1].(string)
		}
	}
	return nil
}

// wait blocks until the event has been logged.
func (e eventLog) wait(event string) {
	for logged := range e {
		if logged == event {
			return
		}
	}
}

// call sends a request as this process would and returns the response.
func call(replica *Replica, kind string) rpc.Response {
	received := make(chan rpc.Response, 1)
	replica.HandleLocal(rpc.Request{Kind: kind}, func(response rpc.Response) { received <- response })
	return <-received
}

// TestReplicaWaitsForStorage checks that a storage that can't be opened neither ends the daemon,
// nor costs it its identity, nor keeps it from answering. The daemon logs the failure, and starts
// its node once the storage can be opened.
func TestReplicaWaitsForStorage(t *testing.T) {
	dir := t.TempDir()
	opened, persisted, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
	lockedDB, err := bolt.Open(filepath.Join(dir, "tealpond.db"), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	logged := make(eventLog, 1000)
	replica := New(testEnvironment(dir, logged), discovery.NewClient(discovery.Options{}))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	done := make(chan struct{})
	go func() {
		_ = replica.Run(ctx)
		close(done)
	}()
	logged.wait("storage.open_failed")
	var info rpc.LeaderInfo
	if response := call(replica, rpc.KindLeader); response.Code != rpc.CodeOK || transport.Decode(response.Body, &info) != nil || info.IsLeader {
		t.Errorf("response to the leader request: %+v, %+v", response, info)
	}
	if response := call(replica, rpc.KindGetConfig); response.Code != rpc.CodeNotLeader {
		t.Errorf("response to the configuration request: %+v", response)
	}
	if replica.StorageOpened() {
		t.Error("storage reported as opened while it is locked")
	}
	if err := lockedDB.Close(); err != nil {
		t.Fatal(err)
	}
	logged.wait("raft.started")
	identity := make(chan string, 1)
	replica.HandleLocal(rpc.Request{Kind: requestAnnouncerState}, func(rpc.Response) { identity <- replica.self.ID })
	if id := <-identity; id != persisted.ID || !replica.StorageOpened() {
		t.Errorf("identity is %s, want %s", id, persisted.ID)
	}
	stop()
	<-done
}
