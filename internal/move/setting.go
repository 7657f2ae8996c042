// Package move hands deferrable jobs to a peer cluster before this one is
// crowded, and takes part in the peer's doing so. The stores of both keep
// every step; see docs/foresee.md.
package move

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

// Lane is a route that may move: jobs of Here go to There at Peer.
type Lane struct {
	Here  string `toml:"here"`
	Peer  string `toml:"peer"`
	There string `toml:"there"`
}

// Setting is the file that turns moving on.
type Setting struct {
	Name      string  `toml:"name"`
	BucketS   float64 `toml:"bucketS"`
	DayS      float64 `toml:"dayS"`
	LeastDays int     `toml:"leastDays"`
	Horizon   int     `toml:"horizonBuckets"`
	CrowdedAt float64 `toml:"crowdedAt"`
	LendShare float64 `toml:"lendShare"`
	LoanS     float64 `toml:"loanS"`
	EachTime  int     `toml:"eachTime"`
	PauseMs   int64   `toml:"pauseMs"`
	Peers     []Peer  `toml:"peers"`
	Lanes     []Lane  `toml:"lanes"`
}

// Load reads and checks the file; a fault names its field.
func Load(path string) (Setting, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Setting{}, Error.New("%s: cannot be read: %v", path, err)
	}
	return Parse(path, raw)
}

// Parse checks raw.
func Parse(path string, raw []byte) (Setting, error) {
	s := Setting{BucketS: 300, DayS: 86400, LeastDays: 2, Horizon: 6, CrowdedAt: 0.8, LendShare: 0.3, LoanS: 1800, EachTime: 8, PauseMs: 1000}
	m, err := toml.NewDecoder(bytes.NewReader(raw)).Decode(&s)
	if err != nil {
		return Setting{}, Error.New("%s: %v", path, err)
	}
	if left := m.Undecoded(); len(left) > 0 {
		// Why strict here: it is our own file, and a typing error would
		// leave something off without a word.
		return Setting{}, Error.New("%s: field %s: unknown", path, left[0])
	}
	if f, why := s.fault(); f != "" {
		return Setting{}, Error.New("%s: field %s: %s", path, f, why)
	}
	return s, nil
}

func (s *Setting) fault() (string, string) {
	for _, c := range []struct {
		field string
		ok    bool
		why   string
	}{
		{"name", s.Name != "", "is missing"},
		{"bucketS", s.BucketS > 0 && s.DayS >= 2*s.BucketS, "must be above 0 and at most half of dayS"},
		{"leastDays", s.LeastDays >= 1, "must be at least 1"},
		{"horizonBuckets", s.Horizon >= 1, "must be at least 1"},
		{"crowdedAt", s.CrowdedAt > 0 && s.CrowdedAt <= 1, "must be above 0 and at most 1"},
		{"lendShare", s.LendShare >= 0 && s.LendShare <= 1, "must be from 0 to 1"},
		{"loanS", s.LoanS > 0, "must be above 0"},
		{"eachTime", s.EachTime >= 1, "must be at least 1"},
		{"pauseMs", s.PauseMs >= 100, "must be at least 100"},
		{"peers", len(s.Peers) > 0, "names no peer"},
	} {
		if !c.ok {
			return c.field, c.why
		}
	}
	known := map[string]bool{}
	for _, p := range s.Peers {
		switch {
		case p.Name == "" || p.Name == s.Name || known[p.Name]:
			return "peers.name", "is missing, stands twice or is our own"
		case len(p.Key) < 16:
			return "peers.key", "wants 16 characters or more"
		case len(p.Seeds) == 0:
			return "peers.seeds", "is missing"
		}
		for _, a := range p.Seeds {
			if _, _, err := net.SplitHostPort(a); err != nil {
				return "peers.seeds", a + " is no address"
			}
		}
		known[p.Name] = true
	}
	for _, l := range s.Lanes {
		switch {
		case l.Here == "" || l.There == "":
			return "lanes", "here or there is missing"
		case !known[l.Peer]:
			return "lanes.peer", l.Peer + " is not among peers"
		}
	}
	return "", ""
}

func (s *Setting) peer(name string) *Peer {
	for i := range s.Peers {
		if s.Peers[i].Name == name {
			return &s.Peers[i]
		}
	}
	return nil
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }
