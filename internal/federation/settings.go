// Package federation hands deferrable jobs to a peer cluster before this one is
// crowded, and takes part in the peer's doing so. The stores of both keep
// every step; see docs/forecast.md.
package federation

import (
	"bytes"
	"net"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/zeebo/errs"
)

// Error is the class of faults of moves.
var Error = errs.Class("move")

// Peer is another cluster.
type Peer struct {
	Name  string   `toml:"name"`
	Seeds []string `toml:"seeds"` // inner addresses of its edge daemons
	Key   string   `toml:"key"`   // shared by both, signs each call
}

// Route is a route that may move: jobs of Here go to There at Peer.
type Route struct {
	LocalRoute string `toml:"here"`
	Peer       string `toml:"peer"`
	PeerRoute  string `toml:"there"`
}

// Settings is the file that turns moving on.
type Settings struct {
	Name           string  `toml:"name"`
	BucketS        float64 `toml:"bucketS"`
	DayS           float64 `toml:"dayS"`
	MinDays        int     `toml:"leastDays"`
	HorizonBuckets int     `toml:"horizonBuckets"`
	CrowdedShare   float64 `toml:"crowdedAt"`
	LendShare      float64 `toml:"lendShare"`
	LoanS          float64 `toml:"loanS"`
	MaxOffers      int     `toml:"eachTime"`
	IntervalMs     int64   `toml:"pauseMs"`
	Peers          []Peer  `toml:"peers"`
	Routes         []Route `toml:"lanes"`
}

// Load reads and checks the file; a fault names its field.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.New("%s: cannot be read: %v", path, err)
	}
	return Parse(path, raw)
}

// Parse checks raw.
func Parse(path string, raw []byte) (Settings, error) {
	settings := Settings{BucketS: 300, DayS: 86400, MinDays: 2, HorizonBuckets: 6, CrowdedShare: 0.8, LendShare: 0.3, LoanS: 1800, MaxOffers: 8, IntervalMs: 1000}
	metadata, err := toml.NewDecoder(bytes.NewReader(raw)).Decode(&settings)
	if err != nil {
		return Settings{}, Error.New("%s: %v", path, err)
	}
	if undecoded := metadata.Undecoded(); len(undecoded) > 0 {
		// Why strict here: it is our own file, and a typing error would
		// leave something off without a word.
		return Settings{}, Error.New("%s: field %s: unknown", path, undecoded[0])
	}
	if field, fault := settings.firstFault(); field != "" {
		return Settings{}, Error.New("%s: field %s: %s", path, field, fault)
	}
	return settings, nil
}

func (s *Settings) firstFault() (string, string) {
	for _, check := range []struct {
		field string
		ok    bool
		why   string
	}{
		{"name", s.Name != "", "is missing"},
		{"bucketS", s.BucketS > 0 && s.DayS >= 2*s.BucketS, "must be above 0 and at most half of dayS"},
		{"leastDays", s.MinDays >= 1, "must be at least 1"},
		{"horizonBuckets", s.HorizonBuckets >= 1, "must be at least 1"},
		{"crowdedAt", s.CrowdedShare > 0 && s.CrowdedShare <= 1, "must be above 0 and at most 1"},
		{"lendShare", s.LendShare >= 0 && s.LendShare <= 1, "must be from 0 to 1"},
		{"loanS", s.LoanS > 0, "must be above 0"},
		{"eachTime", s.MaxOffers >= 1, "must be at least 1"},
		{"pauseMs", s.IntervalMs >= 100, "must be at least 100"},
		{"peers", len(s.Peers) > 0, "names no peer"},
	} {
		if !check.ok {
			return check.field, check.why
		}
	}
	known := map[string]bool{}
	for _, peer := range s.Peers {
		switch {
		case peer.Name == "" || peer.Name == s.Name || known[peer.Name]:
			return "peers.name", "is missing, stands twice or is our own"
		case len(peer.Key) < 16:
			return "peers.key", "wants 16 characters or more"
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
	for _, route := range s.Routes {
		switch {
		case route.LocalRoute == "" || route.PeerRoute == "":
			return "lanes", "here or there is missing"
		case !known[route.Peer]:
			return "lanes.peer", route.Peer + " is not among peers"
		}
	}
	return "", ""
}

func (s *Settings) findPeer(name string) *Peer {
	for i := range s.Peers {
		if s.Peers[i].Name == name {
			return &s.Peers[i]
		}
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
