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
	// tallyPeerTimeout is the silence after which a replica counts as unreachable; two exchanges
	// were lost by then.
	tallyPeerTimeout = 1200 * time.Millisecond
	// tallyAnswerTimeout is how long a replica may take to acknowledge an add that it was sent.
	tallyAnswerTimeout = 400 * time.Millisecond
	// tallyExchangeInterval is the time between two exchanges with each replica; two exchanges fit
	// into mergeMs.
	tallyExchangeInterval = 500 * time.Millisecond
	// tallyRepeatInterval is the time after which adds that a replica has not stored on its disk are
	// sent to it again.
	tallyRepeatInterval = 250 * time.Millisecond
	// tallyStartupTimeout is how long a restarted replica answers no reads while it doesn't know
	// whether it lacks adds that it acknowledged.
	tallyStartupTimeout = 1500 * time.Millisecond
	// tallyLearnerTimeout is the silence after which a replica that is not a voter is removed.
	tallyLearnerTimeout = 20 * time.Second
	// tallyDiskShare is the maximum share of a server's disk that the tallies file may use.
	tallyDiskShare = 0.25
	// tallyMemoryShare is the maximum size of the tallies file as a share of the process's memory
	// limit; adds take more space in memory than in the file.
	tallyMemoryShare = 0.125
	// tallyWarningShare is the used share of the tallies file's maximum size that is logged first,
	// tallyWarningStep the increase after which it is logged again.
	tallyWarningShare = 0.8
	tallyWarningStep  = 0.05
	// maxTallyMessageAdds is the maximum number of adds in one message, which then has about 30 KB.
	maxTallyMessageAdds = 500
)

// Tallies stay available on each side of a partition: they need no leader and are not in the
// log. This file connects package tally to its peers, its file and the clock.

// bytesPerMB is the size of a megabyte in the settings.
const bytesPerMB = 1 << 20

// frameTally carries an rpc.TallyMessage between replicas.
const frameTally = byte(67)

// codeReplicaBehind is the code of a replica that lacks adds that the caller knows of, or that
// has just started. Another replica may have them.
const codeReplicaBehind = 416

// tallyService holds a replica's tallies, the writer of their file and their peers. It belongs
// to the loop.
type tallyService struct {
	replica         *tally.Replica // nil until the file is open
	writes          chan []tally.Run
	learnerContacts map[string]time.Time // by member ID: last contact of replicas that are not voters
	changed         bool                 // there may be something to write or send
	nextTickAt      time.Time            // when replica.Tick is called next
	loggedSilent    map[string]bool      // by member ID: whether it is silent, as logged last
	loggedFileUsage float64              // the used share of the file's maximum size that was logged last
	// differences are those that were logged last.
	differences tally.Differences
}

// openedTallies is the result of opening the tallies file.
type openedTallies struct {
	file      *storage.Tallies
	recovered storage.RecoveredTallies
}

// openTallies opens the tallies file outside the loop, and retries until that succeeds.
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

// handleTalliesOpened creates the replica of the tallies and starts the writer of their file.
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

// maxTallyBytes returns the maximum size of the tallies file in bytes. It is bounded by the disk,
// and by the memory that its adds take while the process runs.
func maxTallyBytes(limits settings.Limits) int64 {
	maxMB := float64(limits.MemoryMB) * tallyMemoryShare
	if limits.DiskMB > 0 {
		maxMB = min(maxMB, float64(limits.DiskMB)*tallyDiskShare)
	}
	return int64(maxMB * bytesPerMB)
}

// writeTallies writes the runs that the loop passes to it until ctx ends. A failed write is
// retried: the loop is notified only when the runs are on disk.
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

// writtenTallies reports that a write has completed, and the bytes that the file uses since then.
type writtenTallies struct{ fileBytes int64 }

// handleTalliesWritten records a write, and logs when the tallies file fills up.
func (r *Replica) handleTalliesWritten(written *writtenTallies) {
	r.tallies.replica.Written(written.fileBytes, time.Now())
	r.tallies.changed = true
	usage := r.tallies.replica.FileUsage()
	if usage < tallyWarningShare || usage < r.tallies.loggedFileUsage+tallyWarningStep && r.tallies.loggedFileUsage > 0 {
		return
	}
	r.tallies.loggedFileUsage = usage
	level := "warn"
	if usage >= 1 {
		level = "error" // new adds are refused
	}
	_ = r.log.Log("level", level, "event", "tallies.filling", "share", math.Round(usage*100)/100, "bytes", written.fileBytes)
}

// handleTallyFrame processes a message of another replica.
func (r *Replica) handleTallyFrame(body []byte, stream *transport.Stream) {
	var message rpc.TallyMessage
	if transport.Decode(body, &message) != nil || message.To != r.self.ID || r.tallies.replica == nil || r.node == nil {
		return
	}
	if !r.node.IsVoter(message.From) {
		r.tallies.learnerContacts[message.From] = time.Now()
		r.tallies.replica.SetPeers(r.tallyPeers(), r.tallyMembersKnown(), time.Now())
	}
	r.peers.inbound[message.From] = stream
	r.tallies.changed = true
	r.tallies.replica.Receive(message.From, message.Message, time.Now())
}

// tallyPeers returns the IDs of the other replicas: the voters, and the non-voters that were
// recently in contact.
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

// tallyMembersKnown reports whether this server knows the cluster. One that has just been founded, or
// has lost its disk, knows no voters or only some of them until it has received the log, and must not
// take its own disk for all there are.
func (r *Replica) tallyMembersKnown() bool {
	return len(r.node.Voters()) >= r.bootstrap.MinVoters
}

// servesTallies reports whether this server can answer for tallies: their file is open, and it knows
// where else their adds are.
func (r *Replica) servesTallies() bool {
	return r.tallies.replica != nil && r.node != nil && r.tallyMembersKnown()
}

// runTallies starts the pending writes and sends the pending messages of the tallies. It returns
// the time until it must be called again, 0 if there are no tallies.
func (r *Replica) runTallies(ctx context.Context, now time.Time) time.Duration {
	replica := r.tallies.replica
	if replica == nil {
		return 0
	}
	if wait := r.tallies.nextTickAt.Sub(now); wait <= 0 {
		r.tickTallies(now)
	} else if !r.tallies.changed {
		return wait
	}
	r.tallies.changed = false
	if runs := replica.TakeWrites(); runs != nil {
		r.tallies.writes <- runs // doesn't block, since only one write is in flight at a time
	}
	for _, envelope := range replica.TakeMessages() {
		message := rpc.TallyMessage{From: r.self.ID, To: envelope.To, Message: envelope.Message}
		r.sendFrame(ctx, envelope.To, transport.Frame{Kind: frameTally, Body: transport.Encode(message)})
	}
	return r.tallies.nextTickAt.Sub(now)
}

// tickTallies updates the replica's peers and runs its timeouts.
func (r *Replica) tickTallies(now time.Time) {
	r.tallies.nextTickAt = now.Add(tallyRepeatInterval / 2)
	maps.DeleteFunc(r.tallies.learnerContacts, func(id string, lastContact time.Time) bool {
		return r.node.IsVoter(id) || now.Sub(lastContact) > tallyLearnerTimeout
	})
	r.tallies.replica.SetPeers(r.tallyPeers(), r.tallyMembersKnown(), now)
	r.tallies.replica.DropChangesBefore(now.Add(-tally.RequestTimeout))
	r.tallies.replica.Tick(now)
	r.logTallyPeers(now)
	r.logTallyDifferences()
}

// logTallyDifferences logs if the contents differed from those of another replica under equal
// vectors, and how many adds were given a new position since then.
func (r *Replica) logTallyDifferences() {
	if differences := r.tallies.replica.Differences(); differences != r.tallies.differences {
		r.tallies.differences = differences
		_ = r.log.Log("level", "error", "event", "tally.contents_differ", "noticed", differences.Noticed, "moved", differences.Moved)
	}
}

// logTallyPeers logs which other replicas become silent, and which are in contact again, with
// the number of adds that those may lack.
func (r *Replica) logTallyPeers(now time.Time) {
	for _, peer := range r.tallies.replica.Peers() {
		silent := now.Sub(peer.LastContact) > tallyPeerTimeout
		switch {
		case peer.LastContact.IsZero() || silent == r.tallies.loggedSilent[peer.ID]:
			continue
		case silent:
			_ = r.log.Log("level", "warn", "event", "tally.peer_silent", "disk", peer.ID)
		default:
			_ = r.log.Log("level", "info", "event", "tally.peer_heard", "disk", peer.ID, "lacks", peer.Lacks)
		}
		r.tallies.loggedSilent[peer.ID] = silent
	}
}

// handleChangeTally adds to a tally. An add that is not acknowledged in time gets no answer: it
// may or may not count.
func (r *Replica) handleChangeTally(body []byte, reply replyFunc) {
	var add tally.Add
	if transport.Decode(body, &add) != nil {
		reply(responseBadRequest)
		return
	}
	if !r.servesTallies() {
		reply(responseNotLeader) // another server is asked
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
			reply(rpc.Response{Code: codeReplicaBehind, Text: "the file of this replica is an older copy of itself, the others bring what it lacks"})
			return
		}
		reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(rpc.TallyAnswer{Position: position, Servers: r.serverAddresses()})})
	})
}

// codeTalliesFull is the code that refuses an add because the tallies file is full.
const codeTalliesFull = 507

func (r *Replica) handleReadTally(body []byte, reply replyFunc) {
	var read rpc.TallyRead
	if transport.Decode(body, &read) != nil {
		reply(responseBadRequest)
		return
	}
	if !r.servesTallies() {
		reply(responseNotLeader) // another server is asked
		return
	}
	total, result := r.tallies.replica.Read(read.Tally, read.After, time.Now())
	if result != tally.ResultOK {
		reply(rpc.Response{Code: codeReplicaBehind, Text: "this replica lacks adds that the caller knows of"})
		return
	}
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(rpc.TallyAnswer{Total: total, Servers: r.serverAddresses()})})
}

// serverAddresses returns the addresses of the replicas that this one knows, its own first.
func (r *Replica) serverAddresses() []string {
	addresses := []string{r.self.Addr}
	for _, voter := range r.node.Voters() {
		if voter.Addr != r.self.Addr {
			addresses = append(addresses, voter.Addr)
		}
	}
	return addresses
}
