package server

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/settings"
	"tealpond/internal/storage"
	"tealpond/internal/tally"
	"tealpond/internal/transport"
)

const (
	// tallyPeerTimeout is the silence of a replica after which it counts as cut off; two exchanges
	// were lost by then.
	tallyPeerTimeout = 1200 * time.Millisecond
	// tallyAnswerTimeout is how long a replica may take to answer that it was sent an add.
	tallyAnswerTimeout = 400 * time.Millisecond
	// tallyExchangeInterval is the time between two exchanges with each replica; two of them fit into
	// mergeMs.
	tallyExchangeInterval = 500 * time.Millisecond
	// tallyRepeatInterval is the time after which a replica is sent adds again that are not on its
	// disk.
	tallyRepeatInterval = 250 * time.Millisecond
	// tallyStartupTimeout is for how long a replica that has just started answers no reads while it
	// doesn't know whether it lacks what it acknowledged.
	tallyStartupTimeout = 1500 * time.Millisecond
	// tallyLearnerTimeout is the silence after which a replica that is no voter is forgotten.
	tallyLearnerTimeout = 20 * time.Second
	// tallyDiskShare is the share of a server's disk that the file of the tallies may take.
	tallyDiskShare = 0.25
	// tallyMemoryShare is the size of the file of the tallies as a share of the process's memory at
	// most; adds take more in memory than in the file.
	tallyMemoryShare = 0.125
	// tallyWarningShare is how full the file of the tallies is when that is logged first,
	// tallyWarningStep by how much more it is when that is logged again.
	tallyWarningShare = 0.8
	tallyWarningStep  = 0.05
	// maxTallyMessageAdds is the number of adds in one message, which then has about 30 KB.
	maxTallyMessageAdds = 500
)

// Tallies go on at each side of a partition: they need no leader, and are in no log. This
// file gives package tally its peers, its disk and its clock.

// bytesPerMB is the size of the unit of the settings.
const bytesPerMB = 1 << 20

// frameTally carries an rpc.TallyMessage between replicas.
const frameTally = byte(67)

// codeBehind answers a call at a replica that lacks what the caller knows of, and one that
// has just started. Another replica may have it.
const codeBehind = 416

// tallyService is a replica's tallies, their disk and their peers. It belongs to the loop.
type tallyService struct {
	replica         *tally.Replica // nil until the file is open
	writes          chan []tally.Run
	learnerContacts map[string]time.Time // replicas that are no voters, and when they were last heard
	changed         bool                 // there may be something to write or send
	tickAt          time.Time            // when the replica is to look at the time
	silent          map[string]bool      // of each other replica, as it was logged last
	filled          float64              // the share of the file's bound that was logged last
	// differences are those that were logged last.
	differences tally.Differences
}

// openedTallies is the outcome of opening the file of the tallies.
type openedTallies struct {
	file      *storage.Tallies
	recovered storage.RecoveredTallies
}

// openTallies opens the file beside the loop, for as long as it takes.
func (r *Replica) openTallies(ctx context.Context) {
	for ctx.Err() == nil {
		file, recovered, err := storage.OpenTallies(r.settings.DataDir)
		if err == nil {
			if !r.post(ctx, loopEvent{talliesOpened: &openedTallies{file, recovered}}) {
				_ = file.Close() // the process ends
			}
			return
		}
		_ = r.log.Log("level", "error", "event", "tallies.open_failed", "dir", r.settings.DataDir, "error", err)
		select {
		case <-time.After(storage.WarningInterval):
		case <-ctx.Done():
		}
	}
}

// handleTalliesOpened starts the tallies.
func (r *Replica) handleTalliesOpened(ctx context.Context, opened *openedTallies) {
	recovered := opened.recovered
	if recovered.QuarantineReason != "" {
		_ = r.log.Log("level", "error", "event", "tallies.file_set_aside", "reason", recovered.QuarantineReason)
	}
	if recovered.Created {
		_ = r.log.Log("level", "info", "event", "tallies.file_created", "origin", recovered.Origin)
	}
	if recovered.LastWriteLost {
		_ = r.log.Log("level", "warn", "event", "tallies.last_write_lost", "origin", recovered.Origin)
	}
	r.tallies.replica = tally.NewReplica(tally.Config{
		Origin:           recovered.Origin,
		Copies:           r.settings.Tolerance.LostMachines + 1,
		PeerTimeout:      tallyPeerTimeout,
		AnswerTimeout:    tallyAnswerTimeout,
		ExchangeInterval: tallyExchangeInterval,
		RepeatInterval:   tallyRepeatInterval,
		StartupTimeout:   tallyStartupTimeout,
		MaxBytes:         maxTallyBytes(r.settings.Limits),
		MaxMessageAdds:   maxTallyMessageAdds,
	}, recovered.Runs, recovered.Bytes, time.Now())
	r.tallies.writes = make(chan []tally.Run, 1)
	go r.writeTallies(ctx, opened.file, r.tallies.writes)
}

// maxTallyBytes bounds the file of the tallies, in bytes: by the disk, and by the memory that
// its adds take while the process runs.
func maxTallyBytes(limits settings.Limits) int64 {
	bound := float64(limits.MemoryMb) * tallyMemoryShare
	if limits.DiskMb > 0 {
		bound = min(bound, float64(limits.DiskMb)*tallyDiskShare)
	}
	return int64(bound * bytesPerMB)
}

// writeTallies writes what the loop hands it, until ctx ends. A write that fails is made
// again: nobody is notified of it before it is on the disk.
func (r *Replica) writeTallies(ctx context.Context, file *storage.Tallies, writes <-chan []tally.Run) {
	defer func() { _ = file.Close() }()
	for {
		select {
		case runs := <-writes:
			size, err := file.Append(runs)
			for err != nil && ctx.Err() == nil {
				select {
				case <-time.After(storage.RetryBackoff):
				case <-ctx.Done():
				}
				size, err = file.Append(runs)
			}
			if err == nil {
				r.post(ctx, loopEvent{talliesWritten: &writtenTallies{size}})
			}
		case <-ctx.Done():
			return
		}
	}
}

// writtenTallies says that a write has ended, and what the file has in use since, in bytes.
type writtenTallies struct{ fileBytes int64 }

// handleTalliesWritten records a write, and how full the file is.
func (r *Replica) handleTalliesWritten(written *writtenTallies) {
	r.tallies.replica.Written(written.fileBytes, time.Now())
	r.tallies.changed = true
	share := r.tallies.replica.FileShare()
	if share < tallyWarningShare || share < r.tallies.filled+tallyWarningStep && r.tallies.filled > 0 {
		return
	}
	r.tallies.filled = share
	level := "warn"
	if share >= 1 {
		level = "error" // new adds are refused
	}
	_ = r.log.Log("level", level, "event", "tallies.filling", "share", math.Round(share*100)/100, "bytes", written.fileBytes)
}

// handleTallyFrame takes a message of another replica.
func (r *Replica) handleTallyFrame(body []byte, stream *transport.Stream) {
	var message rpc.TallyMessage
	if transport.Decode(body, &message) != nil || message.To != r.self.ID || r.tallies.replica == nil || r.node == nil {
		return
	}
	if !r.node.IsVoter(message.From) {
		r.tallies.learnerContacts[message.From] = time.Now()
		r.tallies.replica.SetPeers(r.tallyPeers())
	}
	r.peers.inbound[message.From] = stream
	r.tallies.changed = true
	r.tallies.replica.Receive(message.From, message.Message, time.Now())
}

// tallyPeers are the IDs of the other replicas: the voters, and those that are none and were
// heard lately.
func (r *Replica) tallyPeers() []string {
	var peers []string
	for _, voter := range r.node.Voters() {
		if voter.ID != r.self.ID {
			peers = append(peers, voter.ID)
		}
	}
	for id := range r.tallies.learnerContacts {
		if !slices.Contains(peers, id) {
			peers = append(peers, id)
		}
	}
	return peers
}

// tallyWork carries out what the tallies have to write and send; it returns after how long
// to look again, 0 for no time of its own.
func (r *Replica) tallyWork(ctx context.Context, now time.Time) time.Duration {
	replica := r.tallies.replica
	if replica == nil {
		return 0
	}
	if wait := r.tallies.tickAt.Sub(now); wait <= 0 {
		r.tickTallies(now)
	} else if !r.tallies.changed {
		return wait
	}
	r.tallies.changed = false
	if runs := replica.TakeWrites(); runs != nil {
		r.tallies.writes <- runs // one write at a time is under way, so there is room
	}
	for _, envelope := range replica.TakeMessages() {
		message := rpc.TallyMessage{From: r.self.ID, To: envelope.To, Message: envelope.Message}
		r.sendFrame(ctx, envelope.To, transport.Frame{Kind: frameTally, Body: transport.Encode(message)})
	}
	return r.tallies.tickAt.Sub(now)
}

// tickTallies has the replica look at the time and at who its peers are.
func (r *Replica) tickTallies(now time.Time) {
	r.tallies.tickAt = now.Add(tallyRepeatInterval / 2)
	maps.DeleteFunc(r.tallies.learnerContacts, func(id string, lastContact time.Time) bool {
		return r.node.IsVoter(id) || now.Sub(lastContact) > tallyLearnerTimeout
	})
	r.tallies.replica.SetPeers(r.tallyPeers())
	r.tallies.replica.Abandon(now.Add(-tally.RequestTimeout))
	r.tallies.replica.Tick(now)
	r.logTallyPeers(now)
	r.logTallyDifferences()
}

// logTallyDifferences logs that contents differed from another replica's under equal vectors,
// and how many adds got a new position since.
func (r *Replica) logTallyDifferences() {
	if differences := r.tallies.replica.Differences(); differences != r.tallies.differences {
		r.tallies.differences = differences
		_ = r.log.Log("level", "error", "event", "tally.contents_differ", "noticed", differences.Noticed, "moved", differences.Moved)
	}
}

// logTallyPeers logs which other replicas fall silent, and are heard again with how many
// adds that they may lack.
func (r *Replica) logTallyPeers(now time.Time) {
	for _, peer := range r.tallies.replica.Peers() {
		silent := now.Sub(peer.LastContact) > tallyPeerTimeout
		switch {
		case peer.LastContact.IsZero() || silent == r.tallies.silent[peer.ID]:
			continue
		case silent:
			_ = r.log.Log("level", "warn", "event", "tally.peer_silent", "disk", peer.ID)
		default:
			_ = r.log.Log("level", "info", "event", "tally.peer_heard", "disk", peer.ID, "lacks", peer.Lacks)
		}
		r.tallies.silent[peer.ID] = silent
	}
}

// handleChangeTally adds to a tally. There is no answer to an add that is not acknowledged
// in time: it may count or not.
func (r *Replica) handleChangeTally(body []byte, reply replyFunc) {
	var add tally.Add
	if transport.Decode(body, &add) != nil {
		reply(responseBadRequest)
		return
	}
	if r.tallies.replica == nil || r.node == nil {
		reply(responseNotLeader)
		return
	}
	r.tallies.changed = true
	r.tallies.replica.Change(add, time.Now(), func(result tally.Result, position tally.Position) {
		switch result {
		case tally.ResultOK:
		case tally.ResultFull:
			reply(rpc.Response{Code: codeTalliesFull, Text: "there is no room for another add"})
			return
		default:
			reply(rpc.Response{Code: codeBehind, Text: "the file of this replica is an older copy of itself, the others bring what it lacks"})
			return
		}
		reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(rpc.TallyAnswer{Position: position, Servers: r.serverAddresses()})})
	})
}

// codeTalliesFull refuses an add for which there is no room.
const codeTalliesFull = 507

// handleReadTally reads a tally.
func (r *Replica) handleReadTally(body []byte, reply replyFunc) {
	var read rpc.TallyRead
	if transport.Decode(body, &read) != nil {
		reply(responseBadRequest)
		return
	}
	if r.tallies.replica == nil || r.node == nil {
		reply(responseNotLeader)
		return
	}
	total, result := r.tallies.replica.Read(read.Tally, read.After, time.Now())
	if result != tally.ResultOK {
		reply(rpc.Response{Code: codeBehind, Text: "this replica lacks adds that the caller knows of"})
		return
	}
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(rpc.TallyAnswer{Total: total, Servers: r.serverAddresses()})})
}

// serverAddresses are the addresses of the replicas that this one knows.
func (r *Replica) serverAddresses() []string {
	addresses := []string{r.self.Addr}
	for _, voter := range r.node.Voters() {
		if voter.Addr != r.self.Addr {
			addresses = append(addresses, voter.Addr)
		}
	}
	return addresses
}
