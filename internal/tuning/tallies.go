package tuning

import "time"

// Tallies, which go on at each side of a partition.
const (
	// TallyPeerTimeout is the silence of a replica after which it counts as cut off. Two
	// exchanges were lost by then.
	TallyPeerTimeout = 1200 * time.Millisecond
	// TallyAnswerTimeout is how long a replica that is told of an add may take to answer.
	// Its disk may take longer: then it says so.
	TallyAnswerTimeout = 400 * time.Millisecond
	// TallyExchangeInterval is the time between two exchanges with each replica. After a
	// partition two of them, and what they bring, fit well into mergeMs.
	TallyExchangeInterval = 500 * time.Millisecond
	// TallyRepeatInterval is the time after which a replica is told again of adds that it
	// has not on its disk.
	TallyRepeatInterval = 250 * time.Millisecond
	// TallyStartupTimeout is for how long a replica that has just started answers no reads
	// while it doesn't know whether it lacks what it acknowledged.
	TallyStartupTimeout = 1500 * time.Millisecond
	// TallyGuestTimeout is the silence after which a replica that is no voter is forgotten.
	TallyGuestTimeout = 20 * time.Second
	// TallyDiskShare is the share of a server's disk that the file of the tallies may take:
	// the log and its snapshots, which are bounded too, have the rest.
	TallyDiskShare = 0.25
	// TallyMemoryShare bounds the file by the process's memory, where an add takes some 100
	// bytes, and 63 in the file: a fifth of the memory at the bound.
	TallyMemoryShare = 0.125
	// TallyWarningShare is how full the file is when that is logged first, TallyWarningStep
	// by how much more it is when that is logged again.
	TallyWarningShare = 0.8
	TallyWarningStep  = 0.05
	// MaxTallyMessageAdds is the number of adds in one message: some 30 KB, which a link
	// of 2 Mbit/s carries in an eighth of a second.
	MaxTallyMessageAdds = 500
	// TallyRequestTimeout is how long an application's call may take; it turns to another
	// daemon after a second of silence.
	TallyRequestTimeout = 900 * time.Millisecond
	// TallyNextServerAfter is the time after which a call is sent to the next server too:
	// an add counts once, wherever it comes in.
	TallyNextServerAfter = 90 * time.Millisecond
	// TallyServersInterval is the time between two questions for the servers' addresses.
	TallyServersInterval = 4 * time.Second
	// TallyMemory is for how long a daemon makes sure that its reads show what it has
	// acknowledged itself. By then all servers in reach have it.
	TallyMemory = 2 * time.Minute
)
