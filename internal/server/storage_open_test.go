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

// eventLog is a log that passes on the event of each line.
type eventLog chan string

func (e eventLog) Log(kv ...any) error {
	for i := 0; i+1 < len(kv); i += 2 {
		if kv[i] == "event" {
			e <- kv[i+1].(string)
		}
	}
	return nil
}

// wait waits for the line of an event.
func (e eventLog) wait(event string) {
	for logged := range e {
		if logged == event {
			return
		}
	}
}

// call returns the response to a request of this process.
func call(replica *Replica, kind string) rpc.Response {
	received := make(chan rpc.Response, 1)
	replica.HandleLocal(rpc.Request{Kind: kind}, func(response rpc.Response) { received <- response })
	return <-received
}

// TestReplicaWaitsForItsStorage: a storage that does not serve must not end the
// daemon, cost it its identity or keep it from answering; it says so, and starts once
// the storage serves.
func TestReplicaWaitsForItsStorage(t *testing.T) {
	dir := t.TempDir()
	opened, persisted, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
	other, err := bolt.Open(filepath.Join(dir, "tealpond.db"), 0o600, nil)
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
		t.Errorf("%+v %+v", response, info)
	}
	if response := call(replica, rpc.KindGetConfig); response.Code != rpc.CodeNotLeader {
		t.Errorf("%+v", response)
	}
	if replica.StorageOpened() {
		t.Error("ready without a storage")
	}
	if err := other.Close(); err != nil {
		t.Fatal(err)
	}
	logged.wait("raft.started")
	got := make(chan string, 1)
	replica.HandleLocal(rpc.Request{Kind: requestAnnouncerState}, func(rpc.Response) { got <- replica.self.ID })
	if id := <-got; id != persisted.ID || !replica.StorageOpened() {
		t.Errorf("identity %s, was %s", id, persisted.ID)
	}
	stop()
	<-done
}
