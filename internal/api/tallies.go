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
	// tallyNextServerAfter is the time after which a call is sent to the next server too: an add
	// counts once, wherever it comes in.
	tallyNextServerAfter = 90 * time.Millisecond
	// tallyServersInterval is the time between two questions for the servers' addresses.
	tallyServersInterval = 4 * time.Second
	// tallyReadMemory is for how long a daemon makes sure that its reads show what it has acknowledged
	// itself.
	tallyReadMemory = 2 * time.Minute
)

// addTallyRoutes adds the calls on tallies, which any replica answers.
func (s *Server) addTallyRoutes(e *echo.Echo) {
	e.POST("/-/Tallies.Change/:id", s.serveTallyChange)
	e.GET("/-/Tallies.Read/:id", s.serveTallyRead)
}

// serveTallyChange serves POST /-/Tallies.Change/ID: 200 once the add is kept, also if it
// came before; 504 if that is unclear.
func (s *Server) serveTallyChange(c echo.Context) error {
	name, body := c.Param("id"), protocol.TallyChange{}
	if err := readCoordinationBody(c, name, &body); err != nil {
		return writeStatusError(c, err)
	}
	if !validName(body.ID) {
		return writeStatusError(c, badRequest("id: missing or too long"))
	}
	add := tally.Add{Tally: name, ID: tally.NewID(name, body.ID), Amount: body.Amount}
	answer, ok := s.askReplicas(c.Request().Context(), rpc.Request{Kind: rpc.KindChangeTally, Body: transport.Encode(add)})
	if !ok {
		return writeStatusError(c, unknownOutcomes[coordinationChange])
	}
	s.tallies.noteAcknowledged(answer.Position, time.Now())
	return c.JSONBlob(http.StatusOK, []byte("{}"))
}

// serveTallyRead serves GET /-/Tallies.Read/ID: the sum of all adds that are known, those
// among them that this daemon has acknowledged; 503 if no replica in reach has them.
func (s *Server) serveTallyRead(c echo.Context) error {
	name := c.Param("id")
	if !validName(name) {
		return writeStatusError(c, errBadName)
	}
	read := rpc.TallyRead{Tally: name, After: s.tallies.acknowledged(time.Now())}
	answer, ok := s.askReplicas(c.Request().Context(), rpc.Request{Kind: rpc.KindReadTally, Body: transport.Encode(read)})
	if !ok {
		return writeStatusError(c, errNoReplica)
	}
	return c.JSON(http.StatusOK, protocol.TallyResponse{Total: answer.Total})
}

// errNoReplica: no replica was reached that has what this daemon has acknowledged.
var errNoReplica = &statusError{http.StatusServiceUnavailable, "no server in reach has the tally at the moment", 1}

// askReplicas asks one replica after the other, this process's own first, each a moment
// after the last and without waiting for it, and gives the first good answer: calls on
// tallies may be carried out any number of times.
func (s *Server) askReplicas(ctx context.Context, request rpc.Request) (rpc.TallyAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, tally.RequestTimeout)
	defer cancel()
	asks := s.replicaAsks(request)
	answers := make(chan *tallyAnswer, len(asks))
	next := time.NewTimer(0)
	defer next.Stop()
	for begun, ended := 0, 0; ended < len(asks); {
		select {
		case <-next.C:
			if begun < len(asks) {
				ask := asks[begun]
				go func() { answers <- ask(ctx) }()
				begun++
				next.Reset(tallyNextServerAfter)
			}
		case answer := <-answers:
			ended++
			if answer != nil {
				s.tallies.noteServers(answer.server, answer.Servers)
				return answer.TallyAnswer, true
			}
			next.Reset(0)
		case <-ctx.Done():
			return rpc.TallyAnswer{}, false
		}
	}
	return rpc.TallyAnswer{}, false
}

// tallyAnswer is a replica's good answer, and the replica's address; empty for this
// process's own.
type tallyAnswer struct {
	rpc.TallyAnswer
	server string
}

// replicaAsks returns a function for each replica that is known, in the order in which they
// are to be asked. It gives the replica's answer, or nil if it has no good one.
func (s *Server) replicaAsks(request rpc.Request) []func(context.Context) *tallyAnswer {
	var asks []func(context.Context) *tallyAnswer
	if s.replica != nil {
		asks = append(asks, func(ctx context.Context) *tallyAnswer { return goodAnswer(s.askReplica(ctx, request), "") })
	}
	for _, address := range s.tallies.candidates(slices.Concat(s.discovery.KnownServers(), s.settings.SeedAddresses())) {
		if address == s.settings.InternalAddress() {
			continue
		}
		asks = append(asks, func(ctx context.Context) *tallyAnswer {
			response, err := rpc.Call(ctx, address, request.Kind, request.Body, tally.RequestTimeout)
			if err != nil {
				return nil
			}
			return goodAnswer(response, address)
		})
	}
	return asks
}

// goodAnswer decodes a good answer; nil if it is none.
func goodAnswer(response rpc.Response, server string) *tallyAnswer {
	answer := &tallyAnswer{server: server}
	if response.Code != rpc.CodeOK || transport.Decode(response.Body, &answer.TallyAnswer) != nil {
		return nil
	}
	return answer
}

// followServers keeps the addresses of the replicas up to date, until ctx ends: in a
// partition the leader can't be asked for them.
func (s *Server) followServers(ctx context.Context) {
	ticker := time.NewTicker(tallyServersInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.askReplicas(ctx, rpc.Request{Kind: rpc.KindReadTally, Body: transport.Encode(rpc.TallyRead{})})
		case <-ctx.Done():
			return
		}
	}
}

// tallyMemory is what a daemon remembers of its calls on tallies. It is safe for concurrent
// use.
type tallyMemory struct {
	mu      sync.Mutex
	servers []string // addresses of replicas, the one that answered last first
	// newest are the adds that this daemon acknowledged, by origin, and when it did so last.
	newest map[string]acknowledgedAdd
}

// acknowledgedAdd is the newest add of an origin that a daemon has acknowledged.
type acknowledgedAdd struct {
	number uint64
	at     time.Time
}

// noteAcknowledged records an add that is about to be acknowledged here.
func (m *tallyMemory) noteAcknowledged(position tally.Position, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newest == nil {
		m.newest = map[string]acknowledgedAdd{}
	}
	number := max(position.Number, m.newest[position.Origin].number)
	m.newest[position.Origin] = acknowledgedAdd{number, now}
}

// acknowledged is what each read here has to show.
func (m *tallyMemory) acknowledged(now time.Time) map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	after := map[string]uint64{}
	for origin, newest := range m.newest {
		if now.Sub(newest.at) > tallyReadMemory {
			delete(m.newest, origin)
			continue
		}
		after[origin] = newest.number
	}
	return after
}

// noteServers records who answered, and the replicas that it knows.
func (m *tallyMemory) noteServers(answered string, servers []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.servers = distinct(append([]string{answered}, servers...))
}

// candidates are the addresses to ask, the likeliest first; more are those that are known
// otherwise.
func (m *tallyMemory) candidates(more []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return distinct(slices.Concat(m.servers, more))
}

// distinct returns each address once, in the order in which they come first.
func distinct(addresses []string) []string {
	var once []string
	for _, address := range addresses {
		if address != "" && !slices.Contains(once, address) {
			once = append(once, address)
		}
	}
	return once
}
