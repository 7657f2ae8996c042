package federation

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/zeebo/errs"

	"tealpond/internal/settings"
)

// Error is the class of errors of the settings file.
var Error = errs.Class("move")

const (
	// minKeyLength is the least number of characters of a peer's key.
	minKeyLength = 16
	// minIntervalMs is the shortest time between two rounds of the Offloader.
	minIntervalMs = 100
)

// Peer is another cluster.
type Peer struct {
	Name  string   `toml:"name"`
	Seeds []string `toml:"seeds"` // addresses of its edge daemons for other daemons
	Key   string   `toml:"key"`   // shared by both, signs each call
}

// Route is a route whose jobs may move: those of LocalRoute to PeerRoute at the peer.
type Route struct {
	LocalRoute string `toml:"here"`
	Peer       string `toml:"peer"`
	PeerRoute  string `toml:"there"`
}

// Settings is the file (TOML) that turns moving jobs between clusters on.
type Settings struct {
	Name           string  `toml:"name"`           // of this cluster
	BucketS        float64 `toml:"bucketS"`        // length of a bucket of the record of demand, s
	DayS           float64 `toml:"dayS"`           // length of a day, s
	MinDays        int     `toml:"leastDays"`      // without so many days of record there is no forecast
	HorizonBuckets int     `toml:"horizonBuckets"` // how far ahead a crowd matters
	CrowdedShare   float64 `toml:"crowdedAt"`      // the part of the room from which it is crowded
	LendShare      float64 `toml:"lendShare"`      // the most of the room that is lent
	LoanS          float64 `toml:"loanS"`          // how long room is borrowed, s
	MaxOffers      int     `toml:"eachTime"`       // jobs that are offered in one round
	IntervalMs     int64   `toml:"pauseMs"`        // between two rounds
	Peers          []Peer  `toml:"peers"`
	Routes         []Route `toml:"lanes"`
}

// defaultSettings are the values of keys that the file leaves out.
var defaultSettings = Settings{
	BucketS:        300,
	DayS:           86400,
	MinDays:        2,
	HorizonBuckets: 6,
	CrowdedShare:   0.8,
	LendShare:      0.3,
	LoanS:          1800,
	MaxOffers:      8,
	IntervalMs:     1000,
}

// Load reads and checks the file at path. The error is of class Error and names the
// file; a fault of a field is a *settings.FieldError.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.New("%s: cannot be read: %w", path, err)
	}
	return Parse(path, raw)
}

// Parse reads and checks the content of the file at path. Unknown keys are faults,
// unlike those of a daemon's settings: the file is tealpond's own, and a typing error
// would leave something off without a word. The error is as that of Load.
func Parse(path string, raw []byte) (Settings, error) {
	file := defaultSettings
	metadata, err := toml.NewDecoder(bytes.NewReader(raw)).Decode(&file)
	if err != nil {
		return Settings{}, Error.New("%s: %w", path, err)
	}
	if undecoded := metadata.Undecoded(); len(undecoded) > 0 {
		return Settings{}, Error.Wrap(&settings.FieldError{Path: path, Field: undecoded[0].String(), Fault: "unknown"})
	}
	if field, fault := file.firstFault(); field != "" {
		return Settings{}, Error.Wrap(&settings.FieldError{Path: path, Field: field, Fault: fault})
	}
	return file, nil
}

// firstFault returns the first field that is not in order, and why; empty if all are.
func (s *Settings) firstFault() (field, fault string) {
	for _, check := range []struct {
		field string
		ok    bool
		fault string
	}{
		{"name", s.Name != "", "is missing"},
		{"bucketS", s.BucketS > 0 && s.DayS >= 2*s.BucketS, "must be above 0 and at most half of dayS"},
		{"leastDays", s.MinDays >= 1, "must be at least 1"},
		{"horizonBuckets", s.HorizonBuckets >= 1, "must be at least 1"},
		{"crowdedAt", s.CrowdedShare > 0 && s.CrowdedShare <= 1, "must be above 0 and at most 1"},
		{"lendShare", s.LendShare >= 0 && s.LendShare <= 1, "must be from 0 to 1"},
		{"loanS", s.LoanS > 0, "must be above 0"},
		{"eachTime", s.MaxOffers >= 1, "must be at least 1"},
		{"pauseMs", s.IntervalMs >= minIntervalMs, fmt.Sprintf("must be at least %d", minIntervalMs)},
		{"peers", len(s.Peers) > 0, "names no peer"},
	} {
		if !check.ok {
			return check.field, check.fault
		}
	}
	if field, fault := s.peerFault(); field != "" {
		return field, fault
	}
	for _, route := range s.Routes {
		switch {
		case route.LocalRoute == "" || route.PeerRoute == "":
			return "lanes", "here or there is missing"
		case s.findPeer(route.Peer) == nil:
			return "lanes.peer", route.Peer + " is not among peers"
		}
	}
	return "", ""
}

// peerFault returns the first fault of the peers.
func (s *Settings) peerFault() (field, fault string) {
	known := map[string]bool{}
	for _, peer := range s.Peers {
		switch {
		case peer.Name == "" || peer.Name == s.Name || known[peer.Name]:
			return "peers.name", "is missing, stands twice or is our own"
		case len(peer.Key) < minKeyLength:
			return "peers.key", fmt.Sprintf("wants %d characters or more", minKeyLength)
		case len(peer.Seeds) == 0:
			return "peers.seeds", "is missing"
		}
		for _, seed := range peer.Seeds {
			if _, _, err := net.SplitHostPort(seed); err != nil {
				return "peers.seeds", seed + " is no address"
			}
		}
		known[peer.Name] = true
	}
	return "", ""
}

// findPeer finds a peer by name; nil if there is none.
func (s *Settings) findPeer(name string) *Peer {
	for i := range s.Peers {
		if s.Peers[i].Name == name {
			return &s.Peers[i]
		}
	}
	return nil
}

// seconds turns a number of seconds of the file into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
