package simulation

import (
	"slices"
	"testing"
	"time"
)

// sixServers has an even number of servers, of which five vote.
var sixServers = ClusterSpec{Servers: 6, Edges: 1, Agents: 4, ToleratedLosses: 2, Zones: 3}

// splitServers partitions the servers into two halves for some time. All other nodes
// reach both halves.
func (s *scenario) splitServers(duration time.Duration, half []string) {
	other := without(s.Servers(), half...)
	for _, name := range half {
		s.SetPartition(name, true, other...)
	}
	time.Sleep(duration)
	for _, name := range half {
		s.SetPartition(name, false, other...)
	}
}

// TestSixServersPartitionedInHalves: the servers are repeatedly partitioned into two halves, with
// the leader in either of them. One half has a majority of the five voters, so that
// changes are acknowledged and jobs are done throughout. Nothing that was acknowledged
// is lost.
func TestSixServersPartitionedInHalves(t *testing.T) {
	runScenarios(t, 6, sixServers, func(s *scenario, seed int64) {
		s.runOperator(seed, 700*time.Millisecond, nil)
		time.Sleep(2 * time.Second)
		for range 3 {
			servers := s.Servers()
			s.random.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
			cut := make(chan struct{})
			s.background.Go(func() {
				defer close(cut)
				s.splitServers(8*time.Second, servers[:3])
			})
			time.Sleep(time.Second)
			s.requireAcknowledgement("with the servers partitioned into two halves")
			<-cut
			time.Sleep(catchUpBound)
		}
	})
}

// TestSuccessiveLossesOfSixServers: in a cluster of five voters and a learner, the leader
// is killed. Once the learner has replaced it as a voter, two more servers are killed,
// the new leader among them. A majority of the voters remains.
func TestSuccessiveLossesOfSixServers(t *testing.T) {
	runScenarios(t, 3, sixServers, func(s *scenario, seed int64) {
		s.runOperator(seed, 700*time.Millisecond, nil)
		time.Sleep(2 * time.Second)
		first := s.Leader()
		s.Kill(first)
		time.Sleep(catchUpBound)
		// The learner is a voter by now, so that two of five voters may be lost again.
		second := s.Leader()
		rest := slices.DeleteFunc(s.Servers(), func(name string) bool { return name == first || name == second })
		third := rest[s.random.Intn(len(rest))]
		s.Kill(second)
		s.Kill(third)
		s.requireAcknowledgement("with three of six servers lost, the first one already replaced")
		for _, name := range []string{first, second, third} {
			s.Start(name)
		}
		time.Sleep(catchUpBound)
		s.requireAcknowledgement("with all servers restarted")
	})
}
