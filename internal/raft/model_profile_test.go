package raft

import (
	"math/rand"
	"time"
)

// walkProfile holds the random parameters of a walk.
type walkProfile struct {
	voters                    int
	config                    Config
	meanFaultGap              time.Duration // mean time between two faults
	lossShare, duplicateShare float64       // shares of messages lost and duplicated
	delayedShare              float64       // share of messages delayed
	ordered                   bool          // messages of one connection keep their order
	syncTime                  time.Duration // mean duration of a write
	snapshotEvery             uint64        // number of entries between two snapshots
	snapshotKeep              uint64        // number of entries kept in the log before a snapshot
}

func randomProfile(random *rand.Rand) walkProfile {
	profile := walkProfile{voters: []int{3, 3, 3, 3, 5, 5, 4, 2, 1}[random.Intn(9)]}
	profile.config = Config{
		HeartbeatInterval:  80 * time.Millisecond,
		ElectionTimeout:    400 * time.Millisecond,
		ElectionJitter:     200 * time.Millisecond,
		CheckQuorumTimeout: 650 * time.Millisecond,
		LeaseLossTimeout:   time.Second,
		LeaseFraction:      0.85,
		MaxInflightEntries: []int{2, 8, 64}[random.Intn(3)],
		MaxAppendBytes:     []int{1, 100, 4096}[random.Intn(3)],
	}
	profile.meanFaultGap = time.Duration(30+random.Intn(400)) * time.Millisecond
	profile.lossShare = []float64{0, 0.01, 0.1}[random.Intn(3)]
	profile.duplicateShare = []float64{0, 0.02, 0.1}[random.Intn(3)]
	profile.delayedShare = []float64{0, 0.02, 0.1}[random.Intn(3)]
	profile.ordered = random.Intn(2) == 0
	profile.syncTime = time.Duration(1+random.Intn(15)) * time.Millisecond
	profile.snapshotEvery = uint64(3 + random.Intn(25))
	profile.snapshotKeep = uint64(random.Intn(6))
	return profile
}
