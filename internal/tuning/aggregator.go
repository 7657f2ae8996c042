package tuning

import "time"

// Batching of the agents' requests.
const (
	// AggregatorRenewalInterval is how long an aggregator collects lease renewals
	// before it sends them. Each agent's lease is shorter by as much, and leases
	// have seconds to spare.
	AggregatorRenewalInterval = 150 * time.Millisecond
	// AggregatorBatchInterval is the least time between two batches of other
	// requests: half of what an entry waits for its group commit anyway.
	AggregatorBatchInterval = 5 * time.Millisecond
	// AggregatorMaxMissedBatches is the number of consecutive batches that a
	// member may miss before it is left out of the next member list. A changed
	// list is sent in full.
	AggregatorMaxMissedBatches = 20
	// AggregatorQueueLength is the number of requests that may wait in an
	// aggregator.
	AggregatorQueueLength = 4096
	// AggregatorRequestTimeout is how long an aggregator waits for the leader's
	// response. It is above the time of an election.
	AggregatorRequestTimeout = 1500 * time.Millisecond
)

// Appointment of a zone's aggregator, and its loss.
const (
	// AggregatorSilenceTimeout is the silence of an aggregator's daemon after
	// which its zone gets another one. Agents have turned away from it by then.
	AggregatorSilenceTimeout = 600 * time.Millisecond
	// AggregatorReturnDelay is how long a daemon in the zone itself must have
	// been heard before it replaces an aggregator outside the zone.
	AggregatorReturnDelay = 3 * time.Second
	// AggregatorLeaderLossTimeout is how long an aggregator without a leader
	// goes on collecting. It is above an election and a lost lease.
	AggregatorLeaderLossTimeout = 1200 * time.Millisecond
	// RetryAvoidance is how long an agent avoids a daemon that left a request
	// unanswered. It doubles each time, up to MaxRetryAvoidance.
	RetryAvoidance = 2 * time.Second
	// MaxRetryAvoidance is the upper bound of RetryAvoidance.
	MaxRetryAvoidance = 16 * time.Second
)
