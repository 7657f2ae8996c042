package server

import (
	"context"
	"maps"
	"slices"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/storage"
	"tealpond/internal/tally"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// Tallies go on at each side of a partition: they need no leader, and are in no log. This
// file gives package tally its peers, its disk and its clock.

// frameTally carries an rpc.TallyMessage between replicas.
const frameTally = byte(67)

// codeBehind answers a read at a replica that lacks what the caller knows of, and one that
// has just started. Another replica may have it.
const codeBehind = 425

// tallyService is a replica's tallies, their disk and their peers. It belongs to the loop.
type tallyService struct {
	replica *tally.Replica // nil until the file is open
	writes  chan []tally.Run
	guests  map[string]time.Time // replicas that are no voters, and when they were last heard
	changed bool                 // there may be something to write or send
	tickAt  time.Time            // when the replica is to look at the time
	silent  map[string]bool      // of each other replica, as it was logged last
}

// openedTallies is the outcome of opening the file of the tallies.
type openedTallies struct {
	file *storage.Tallies
	runs []tally.Run
}

// openTallies opens the file beside the loop, for as long as it takes.
func (r *Replica) openTallies(ctx context.Context) {
	for ctx.Err() == nil {
		file, runs, err := storage.OpenTallies(r.settings.DataDir)
		if err == nil {
			if !r.post(ctx, loopEvent{talliesOpened: &openedTallies{file, runs}}) {
				_ = file.Close() // the process ends
			}
			return
		}
		_ = r.log.Log("level", "error", "event", "tallies.open_failed", "dir", r.settings.DataDir, "error", err)
		select {
		case <-time.After(tuning.StorageWarningInterval):
		case <-ctx.Done():
		}
	}
}

// handleTalliesOpened starts the tallies.
func (r *Replica) handleTalliesOpened(ctx context.Context, opened *openedTallies) {
	r.tallies.replica = tally.NewReplica(tally.Config{
		Origin:           r.processID,
		Copies:           r.settings.Tolerance.LostMachines + 1,
		PeerTimeout:      tuning.TallyPeerTimeout,
		AnswerTimeout:    tuning.TallyAnswerTimeout,
		ExchangeInterval: tuning.TallyExchangeInterval,
		RepeatInterval:   tuning.TallyRepeatInterval,
		StartupTimeout:   tuning.TallyStartupTimeout,
		MaxAdds:          tuning.MaxTallyAdds,
		MaxMessageAdds:   tuning.MaxTallyMessageAdds,
	}, opened.runs, time.Now())
	r.tallies.writes = make(chan []tally.Run, 1)
	go r.writeTallies(ctx, opened.file, r.tallies.writes)
}

// writeTallies writes what the loop hands it, until ctx ends. A write that fails is made
// again: nobody is told of it before it is on the disk.
func (r *Replica) writeTallies(ctx context.Context, file *storage.Tallies, writes <-chan []tally.Run) {
	defer func() { _ = file.Close() }()
	for {
		select {
		case runs := <-writes:
			for file.Append(runs) != nil && ctx.Err() == nil {
				select {
				case <-time.After(tuning.StorageRetryBackoff):
				case <-ctx.Done():
				}
			}
			r.post(ctx, loopEvent{talliesWritten: true})
		case <-ctx.Done():
			return
		}
	}
}

// handleTallyFrame takes a message of another replica.
func (r *Replica) handleTallyFrame(body []byte, stream *transport.Stream) {
	var message rpc.TallyMessage
	if transport.Decode(body, &message) != nil || message.To != r.self.ID || r.tallies.replica == nil || r.node == nil {
		return
	}
	if !r.node.IsVoter(message.From) {
		r.tallies.guests[message.From] = time.Now()
		r.tallies.replica.SetPeers(r.tallyPeers())
	}
	r.inbound[message.From] = stream
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
	for id := range r.tallies.guests {
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
		message := rpc.TallyMessage{From: r.self.ID, Address: r.self.Addr, To: envelope.To, Message: envelope.Message}
		r.sendFrame(ctx, envelope.To, transport.Frame{Kind: frameTally, Body: transport.Encode(message)})
	}
	return r.tallies.tickAt.Sub(now)
}

// tickTallies has the replica look at the time and at who its peers are.
func (r *Replica) tickTallies(now time.Time) {
	r.tallies.tickAt = now.Add(tuning.TallyRepeatInterval / 2)
	maps.DeleteFunc(r.tallies.guests, func(id string, heardAt time.Time) bool {
		return r.node.IsVoter(id) || now.Sub(heardAt) > tuning.TallyGuestTimeout
	})
	r.tallies.replica.SetPeers(r.tallyPeers())
	r.tallies.replica.Abandon(now.Add(-tuning.TallyRequestTimeout))
	r.tallies.replica.Tick(now)
	r.logTallyPeers(now)
}

// logTallyPeers logs which other replicas fall silent, and are heard again with how many
// adds that they may lack.
func (r *Replica) logTallyPeers(now time.Time) {
	for _, peer := range r.tallies.replica.Peers() {
		silent := now.Sub(peer.HeardAt) > tuning.TallyPeerTimeout
		switch {
		case peer.HeardAt.IsZero() || silent == r.tallies.silent[peer.ID]:
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
		if result != tally.ResultOK {
			reply(rpc.Response{Code: codeTalliesFull, Text: "there is no room for another add"})
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
