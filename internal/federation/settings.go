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

// Error is the class of errors in the settings file.
var Error = errs.Class("federation")

const (
	// minKeyLength is the minimum length of a peer's key, in bytes.
	minKeyLength = 16
	// minIntervalMs is the shortest permitted Settings.IntervalMs.
	minIntervalMs = 100
)

// Peer is another cluster.
type Peer struct {
	Name  string   `toml:"name"`
	Seeds []string `toml:"seeds"` // addresses at which its edge daemons serve other daemons
	Key   string   `toml:"key"`   // shared by both clusters, signs each call
}

// Route is a federated route: jobs of LocalRoute may be transferred to PeerRoute at the peer.
type Route struct {
	LocalRoute string `toml:"here"`
	Peer       string `toml:"peer"`
	PeerRoute  string `toml:"there"`
}

// Settings is the TOML file that enables the transfer of jobs between clusters.
type Settings struct {
	Name           string  `toml:"name"`           // of this cluster
	BucketS        float64 `toml:"bucketS"`        // length of a time bucket of the demand data, s
	DayS           float64 `toml:"dayS"`           // length of a day, s
	MinDays        int     `toml:"leastDays"`      // with fewer days of demand data there is no forecast
	HorizonBuckets int     `toml:"horizonBuckets"` // how far ahead an overload matters
	OverloadShare  float64 `toml:"crowdedAt"`      // part of the capacity above which the cluster is overloaded
	LendShare      float64 `toml:"lendShare"`      // largest part of the capacity that is lent
	LoanS          float64 `toml:"loanS"`          // duration of a loan, s
	MaxOffers      int     `toml:"eachTime"`       // jobs offered in one round
	IntervalMs     int64   `toml:"pauseMs"`        // time between two rounds
	Peers          []Peer  `toml:"peers"`
	Routes         []Route `toml:"lanes"`
}

// defaultSettings holds the values of keys that the file omits.
var defaultSettings = Settings{
	BucketS:        300,
	DayS:           86400,
	MinDays:        2,
	HorizonBuckets: 6,
	OverloadShare:  0.8,
	LendShare:      0.3,
	LoanS:          1800,
	MaxOffers:      8,
	IntervalMs:     1000,
}

// Load reads and validates the file at path. The error is of class Error and names the file; it
// wraps a *settings.FieldError if a field is invalid.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.New("%s: cannot be read: %w", path, err)
	}
	return Parse(path, raw)
}

// Parse parses and validates the content of the file at path. Unlike in a daemon's settings,
// unknown keys are errors: only tealpond reads this file, and a misspelled key would silently
// disable something. The error is like that of Load.
func Parse(path string, raw []byte) (Settings, error) {
	file := defaultSettings
	metadata, err := toml.NewDecoder(bytes.NewReader(raw)).Decode(&file)
	if err != nil {
		return Settings{}, Error.New("%s: %w", path, err)
	}
	if undecoded := metadata.Undecoded(); len(undecoded) > 0 {
		return Settings{}, Error.Wrap(&settings.FieldError{Path: path, Field: undecoded[0].String(), Problem: "unknown"})
	}
	if field, problem := file.firstInvalidField(); field != "" {
		return Settings{}, Error.Wrap(&settings.FieldError{Path: path, Field: field, Problem: problem})
	}
	return file, nil
}

// firstInvalidField returns the first invalid field, and what is wrong with it; empty if all are
// valid.
func (s *Settings) firstInvalidField() (field, problem string) {
	for _, check := range []struct {
		field   string
		ok      bool
		problem string
	}{
		{"name", s.Name != "", "is missing"},
		{"bucketS", s.BucketS > 0 && s.DayS >= 2*s.BucketS, "must be above 0 and at most half of dayS"},
		{"leastDays", s.MinDays >= 1, "must be at least 1"},
		{"horizonBuckets", s.HorizonBuckets >= 1, "must be at least 1"},
		{"crowdedAt", s.OverloadShare > 0 && s.OverloadShare <= 1, "must be above 0 and at most 1"},
		{"lendShare", s.LendShare >= 0 && s.LendShare <= 1, "must be from 0 to 1"},
		{"loanS", s.LoanS > 0, "must be above 0"},
		{"eachTime", s.MaxOffers >= 1, "must be at least 1"},
		{"pauseMs", s.IntervalMs >= minIntervalMs, fmt.Sprintf("must be at least %d", minIntervalMs)},
		{"peers", len(s.Peers) > 0, "must list at least one peer"},
	} {
		if !check.ok {
			return check.field, check.problem
		}
	}
	if field, problem := s.invalidPeerField(); field != "" {
		return field, problem
	}
	for _, route := range s.Routes {
		switch {
		case route.LocalRoute == "" || route.PeerRoute == "":
			return "lanes", "key here or there is missing"
		case s.findPeer(route.Peer) == nil:
			return "lanes.peer", route.Peer + " is not listed in peers"
		}
	}
	return "", ""
}

// invalidPeerField returns the first problem of the peers.
func (s *Settings) invalidPeerField() (field, problem string) {
	seenNames := map[string]bool{}
	for _, peer := range s.Peers {
		switch {
		case peer.Name == "" || peer.Name == s.Name || seenNames[peer.Name]:
			return "peers.name", "is missing, a duplicate or the name of this cluster"
		case len(peer.Key) < minKeyLength:
			return "peers.key", fmt.Sprintf("must have at least %d characters", minKeyLength)
		case len(peer.Seeds) == 0:
			return "peers.seeds", "is missing"
		}
		for _, seed := range peer.Seeds {
			if _, _, err := net.SplitHostPort(seed); err != nil {
				return "peers.seeds", seed + " is not an address of the form HOST:PORT"
			}
		}
		seenNames[peer.Name] = true
	}
	return "", ""
}

// findPeer returns the peer with a name; nil if there is none.
func (s *Settings) findPeer(name string) *Peer {
	for i := range s.Peers {
		if s.Peers[i].Name == name {
			return &s.Peers[i]
		}
	}
	return nil
}

// seconds converts a number of seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
