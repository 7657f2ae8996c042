package disk

import (
	"io"
	"strings"

	"tealpond/internal/raft"
)

// Held is what was found on disk.
type Held struct {
	ID    string
	Hard  raft.Hard
	Point raft.Point
	Log   []raft.Entry
	Bound []raft.Voter
	Fresh bool
}

// unused tells whether nothing but an identity was ever written.
func (h *Held) unused() bool {
	return h.Hard == (raft.Hard{}) && h.Point.Index == 0 && len(h.Log) == 0 && len(h.Bound) == 0
}

// reader takes the records of a file.
type reader struct {
	held     Held
	buckets  int
	meta     map[string][]byte
	snapshot gather
}

// readHeld checks and reads a whole file.
func readHeld(r io.ReaderAt, size int64) (Held, boltMeta, uint64, error) {
	in := &reader{meta: map[string][]byte{}}
	if size == 0 {
		return Held{}, boltMeta{}, 0, errUnborn
	}
	m, err := walk(r, size, in.take)
	if err != nil {
		return Held{}, m, 0, err
	}
	if in.buckets == 0 && len(in.meta) == 0 && len(in.held.Log) == 0 {
		return Held{}, m, 0, errUnborn
	}
	if err := in.finish(); err != nil {
		return Held{}, m, 0, err
	}
	return in.held, m, in.snapshot.head.Generation, nil
}

// take files one record; the start of a bucket has no key.
func (in *reader) take(bucket string, key, value []byte) error {
	generation, isFrame := strings.CutPrefix(bucket, "/"+string(bSnap)+"/")
	switch {
	case key == nil:
		in.buckets++
		if bucket == "/"+string(bSnap) {
			return in.head()
		}
		return nil
	case bucket == "/"+string(bMeta):
		in.meta[string(key)] = value
		return nil
	case bucket == "/"+string(bLog):
		return in.entry(key, value)
	case isFrame:
		return in.snapshot.frame(generation, key, value)
	}
	return torn("bucket", "%q is none of ours", bucket)
}

// head reads which snapshot is in force.
func (in *reader) head() error {
	raw := in.meta[string(kSnap)]
	if raw == nil {
		return nil
	}
	in.snapshot.known = true
	return decode(kSnap, raw, &in.snapshot.head)
}

func (in *reader) entry(key, value []byte) error {
	if len(key) != 8 {
		return torn("log", "a key of %d bytes", len(key))
	}
	var e raft.Entry
	if err := decode(key, value, &e); err != nil {
		return err
	}
	if at := index(key); e.Index != at {
		return torn("log", "entry %d stands in the place of %d", e.Index, at)
	}
	in.held.Log = append(in.held.Log, e)
	return nil
}

func (in *reader) finish() error {
	h := &in.held
	id, _, err := unseal(kID, in.meta[string(kID)])
	if err != nil {
		return err
	}
	if h.ID = string(id); h.ID == "" {
		return torn("meta", "no identity")
	}
	for _, f := range []struct {
		key []byte
		to  any
	}{{kHard, &h.Hard}, {kConf, &h.Bound}} {
		if raw := in.meta[string(f.key)]; raw != nil {
			if err := decode(f.key, raw, f.to); err != nil {
				return err
			}
		}
	}
	if raw := in.meta[string(kPt)]; raw != nil {
		if h.Point, err = decodePoint(raw); err != nil {
			return err
		}
	}
	if in.meta[string(kSnap)] != nil {
		if h.Point, err = in.snapshot.whole(); err != nil {
			return err
		}
	}
	// Entries that the snapshot covers may be left from older versions.
	for len(h.Log) > 0 && h.Log[0].Index <= h.Point.Index {
		h.Log = h.Log[1:]
	}
	return checkLog(h.Point, h.Log)
}

// listPoint is a snapshot as the first version wrote it, as a list.
type listPoint struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Conf  []raft.Voter
	Data  []byte
}

// decodePoint reads a snapshot that is one record. Those of the first version
// are read whatever form raft.Point has taken since.
func decodePoint(raw []byte) (raft.Point, error) {
	var p raft.Point
	err := decode(kPt, raw, &p)
	var l listPoint
	if err != nil && decode(kPt, raw, &l) == nil {
		return raft.Point{Index: l.Index, Term: l.Term, Conf: l.Conf, Data: l.Data}, nil
	}
	return p, err
}

// checkLog holds the log against the rules by which it was written: it goes on
// from the snapshot without a gap, and terms never fall.
//
// A log that breaks them has lost records that were synced. The part below the
// gap can't be kept under this identity: entries above it may have been
// acknowledged, the leader may have counted them as held by this disk, and this
// disk's vote would then help to elect a leader that lacks them. What is missing
// can't be told from what is there, so the whole file is torn.
func checkLog(p raft.Point, log []raft.Entry) error {
	index, term := p.Index, p.Term
	for _, e := range log {
		if e.Index != index+1 {
			return torn("log", "entry %d follows %d", e.Index, index)
		}
		if e.Term < term {
			return torn("log", "entry %d: term %d follows term %d", e.Index, e.Term, term)
		}
		index, term = e.Index, e.Term
	}
	return nil
}
