package api

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/tally"
	"tealpond/internal/transport"
)

const (
	// tallyHedgeDelay is the delay after which a call is also sent to the next server. Hedging is
	// safe because an add counts once, whichever servers receive it.
	tallyHedgeDelay = 90 * time.Millisecond
	// replicaRefreshInterval is the interval between two requests for the replicas' addresses.
	replicaRefreshInterval = 4 * time.Second
	// acknowledgedAddRetention is how long a daemon's reads are guaranteed to include the adds that
	// it has acknowledged itself.
	acknowledgedAddRetention = 2 * time.Minute
)

// addTallyRoutes adds the routes of tallies. Any replica can serve them.
func (s *Server) addTallyRoutes(e *echo.Echo) {
	e.POST("/-/Tallies.Change/:id", s.serveTallyChange)
	e.GET("/-/Tallies.Read/:id", s.serveTallyRead)
}

// serveTallyChange serves POST /-/Tallies.Change/ID: 200 once the add is stored, also if it was
// stored before; 504 if the outcome is unknown.
func (s *Server) serveTallyChange(c echo.Context) error {
	name, body := c.Param("id"), protocol.TallyChange{}
	if err := readCoordinationBody(c, name, &body); err != nil {
		return writeStatusError(c, err)
	}
	if !validName(body.ID) {
		return writeStatusError(c, badRequest("id: missing or too long"))
	}
	add := tally.Add{Tally: name, ID: tally.NewID(name, body.ID), Amount: body.Amount}
	answer, ok := s.callReplicas(c.Request().Context(),
		rpc.Request{Kind: rpc.KindChangeTally, Body: transport.Encode(add)})
	if !ok {
		return writeStatusError(c, unknownOutcomeErrors[coordinationChange])
	}
	s.tallies.recordAcknowledged(answer.Position, time.Now())
	return c.JSONBlob(http.StatusOK, []byte("{}"))
}

// serveTallyRead serves GET /-/Tallies.Read/ID: the sum of all known adds, including those that
// this daemon has acknowledged; 503 if no reachable replica has them.
func (s *Server) serveTallyRead(c echo.Context) error {
	name := c.Param("id")
	if !validName(name) {
		return writeStatusError(c, errInvalidName)
	}
	read := rpc.TallyRead{Tally: name, After: s.tallies.acknowledged(time.Now())}
	answer, ok := s.callReplicas(c.Request().Context(), rpc.Request{Kind: rpc.KindReadTally, Body: transport.Encode(read)})
	if !ok {
		return writeStatusError(c, errNoReplica)
	}
	return c.JSON(http.StatusOK, protocol.TallyResponse{Total: answer.Total})
}

// errNoReplica means that no replica was reached that has the adds acknowledged by this daemon.
var errNoReplica = &statusError{http.StatusServiceUnavailable, "no server in reach has the tally at the moment", 1}

// callReplicas sends hedged requests to the replicas, this process's own first. The next request is
// sent tallyHedgeDelay after the last one, or at once if one fails. It returns the first successful
// answer. Tally calls are idempotent.
func (s *Server) callReplicas(ctx context.Context, request rpc.Request) (rpc.TallyAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, tally.RequestTimeout)
	defer cancel()
	calls := s.replicaCalls(request)
	answers := make(chan *tallyAnswer, len(calls))
	next := time.NewTimer(0)
	defer next.Stop()
	for started, finished := 0, 0; finished < len(calls); {
		select {
		case <-next.C:
			if started < len(calls) {
				call := calls[started]
				go func() { answers <- call(ctx) }()
				started++
				next.Reset(tallyHedgeDelay)
			}
		case answer := <-answers:
			finished++
			if answer != nil {
				s.tallies.recordServers(answer.server, answer.Servers)
				return answer.TallyAnswer, true
			}
			next.Reset(0)
		case <-ctx.Done():
			return rpc.TallyAnswer{}, false
		}
	}
	return rpc.TallyAnswer{}, false
}

// tallyAnswer is a successful answer with the address of the replica, which is empty for this
// process's own.
type tallyAnswer struct {
	rpc.TallyAnswer
	server string
}

// replicaCalls returns one function for each known replica, in the order in which to call them. The
// function returns the replica's answer, or nil if the call failed.
func (s *Server) replicaCalls(request rpc.Request) []func(context.Context) *tallyAnswer {
	var calls []func(context.Context) *tallyAnswer
	if s.replica != nil {
		calls = append(calls,
			func(ctx context.Context) *tallyAnswer { return decodeTallyAnswer(s.callLocalReplica(ctx, request), "") })
	}
	for _, address := range s.tallies.candidates(slices.Concat(s.discovery.KnownServers(), s.settings.SeedAddresses())) {
		if address == s.settings.InternalAddress() {
			continue
		}
		calls = append(calls, func(ctx context.Context) *tallyAnswer {
			response, err := rpc.Call(ctx, address, request.Kind, request.Body, tally.RequestTimeout)
			if err != nil {
				return nil
			}
			return decodeTallyAnswer(response, address)
		})
	}
	return calls
}

// decodeTallyAnswer decodes a successful answer; nil if the call failed.
func decodeTallyAnswer(response rpc.Response, server string) *tallyAnswer {
	answer := &tallyAnswer{server: server}
	if response.Code != rpc.CodeOK || transport.Decode(response.Body, &answer.TallyAnswer) != nil {
		return nil
	}
	return answer
}

// refreshReplicaAddresses keeps the addresses of the replicas up to date until ctx ends, since the
// leader can't be asked for them during a partition.
func (s *Server) refreshReplicaAddresses(ctx context.Context) {
	ticker := time.NewTicker(replicaRefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.callReplicas(ctx, rpc.Request{Kind: rpc.KindReadTally, Body: transport.Encode(rpc.TallyRead{})})
		case <-ctx.Done():
			return
		}
	}
}

// tallyClientState is what a daemon keeps between its tally calls. It is safe for concurrent use.
type tallyClientState struct {
	mu      sync.Mutex
	servers []string // addresses of replicas, starting with the one that answered last
	// newest holds the newest add acknowledged by this daemon for each origin, with the time of the
	// last acknowledgement.
	newest map[string]acknowledgedAdd
}

// acknowledgedAdd is the newest add of an origin that this daemon has acknowledged.
type acknowledgedAdd struct {
	number uint64
	at     time.Time
}

// recordAcknowledged records an add that is about to be acknowledged.
func (m *tallyClientState) recordAcknowledged(position tally.Position, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newest == nil {
		m.newest = map[string]acknowledgedAdd{}
	}
	number := max(position.Number, m.newest[position.Origin].number)
	m.newest[position.Origin] = acknowledgedAdd{number, now}
}

// acknowledged returns the number of the newest acknowledged add by origin, which each read must
// include.
func (m *tallyClientState) acknowledged(now time.Time) map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	after := map[string]uint64{}
	for origin, newest := range m.newest {
		if now.Sub(newest.at) > acknowledgedAddRetention {
			delete(m.newest, origin)
			continue
		}
		after[origin] = newest.number
	}
	return after
}

// recordServers records the replica that answered and the replicas that it knows.
func (m *tallyClientState) recordServers(respondedFrom string, servers []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.servers = distinct(append([]string{respondedFrom}, servers...))
}

// candidates returns the addresses to call, those recorded by recordServers first, then the
// additional ones.
func (m *tallyClientState) candidates(additional []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return distinct(slices.Concat(m.servers, additional))
}

// distinct returns the addresses without duplicates and empty ones, in the order of their first
// occurrence.
func distinct(addresses []string) []string {
	var unique []string
	for _, address := range addresses {
		if address != "" && !slices.Contains(unique, address) {
			unique = append(unique, address)
		}
	}
	return unique
}
