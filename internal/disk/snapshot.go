package disk

import (
	"encoding/binary"
	"hash/crc32"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
	"tealpond/internal/tune"
)

// A snapshot is written in frames under a number of its own, its generation: a
// bucket for each generation, in it the frames by number. Each transaction adds
// some frames, so that entries of the log need not wait for a large snapshot;
// the last one names the new generation in the head and removes the old one.
// Until that is synced the old snapshot and the log above it are whole, from
// then on the new ones are. What a crash leaves of a generation that the head
// does not name is removed when the next one begins.

// head is the record of the snapshot in force.
type head struct {
	_          struct{}   `cbor:",toarray"`
	Point      raft.Point // without its data
	Generation uint64
	Frames     uint64
	Size       uint64
	Sum        uint32 // CRC-32C of the data
}

// saving is a snapshot that is being written.
type saving struct {
	point *raft.Point
	head  head
	next  uint64 // the first frame that is not on disk
}

func newSaving(p *raft.Point, generation uint64) *saving {
	size := uint64(len(p.Data))
	h := head{Point: *p, Generation: generation, Frames: (size + tune.SnapshotFrame - 1) / tune.SnapshotFrame,
		Size: size, Sum: crc32.Checksum(p.Data, castagnoli)}
	h.Point.Data = nil
	return &saving{point: p, head: h}
}

// upTo is the end of the frames that the next transaction writes, and whether
// they are the last.
func (s *saving) upTo() (uint64, bool) {
	end := min(s.next+tune.SnapshotFrames, s.head.Frames)
	return end, end == s.head.Frames
}

// put writes the frames up to end.
func (s *saving) put(tx *bolt.Tx, current, end uint64) error {
	all, err := tx.CreateBucketIfNotExists(bSnap)
	if err != nil {
		return err
	}
	if s.next == 0 {
		if err := keepOnly(all, current); err != nil {
			return err
		}
	}
	b, err := all.CreateBucketIfNotExists(key(s.head.Generation))
	if err != nil {
		return err
	}
	b.FillPercent = 1
	for i := s.next; i < end; i++ {
		from := i * tune.SnapshotFrame
		k := key(i)
		if err := b.Put(k, seal(k, s.point.Data[from:min(from+tune.SnapshotFrame, s.head.Size)])); err != nil {
			return err
		}
	}
	return nil
}

// switchTo puts the snapshot in force and removes the one before.
func (s *saving) switchTo(tx *bolt.Tx) error {
	m := tx.Bucket(bMeta)
	raw, err := encode(kSnap, s.head)
	if err != nil {
		return err
	}
	if err := m.Put(kSnap, raw); err != nil {
		return err
	}
	if err := m.Delete(kPt); err != nil {
		return err
	}
	return keepOnly(tx.Bucket(bSnap), s.head.Generation)
}

// keepOnly removes all generations but one.
func keepOnly(all *bolt.Bucket, generation uint64) error {
	var gone [][]byte
	err := all.ForEachBucket(func(k []byte) error {
		if index(k) != generation {
			gone = append(gone, append([]byte(nil), k...))
		}
		return nil
	})
	for _, k := range gone {
		if err == nil {
			err = all.DeleteBucket(k)
		}
	}
	return err
}

// gather puts a snapshot together from its frames while a file is read.
type gather struct {
	head   head
	known  bool
	frames uint64
	data   []byte
}

// frame takes one record of a generation.
func (g *gather) frame(generation string, k, raw []byte) error {
	if len(generation) != 8 {
		return torn("snapshot", "a generation named %q", generation)
	}
	if !g.known || binary.BigEndian.Uint64([]byte(generation)) != g.head.Generation {
		return nil // what a crash left over
	}
	if len(k) != 8 || index(k) != g.frames {
		return torn("snapshot", "frame %x in the place of %d", k, g.frames)
	}
	body, summed, err := unseal(k, raw)
	if err != nil {
		return err
	}
	if !summed || uint64(len(body)) > g.head.Size-uint64(len(g.data)) {
		return torn("snapshot", "frame %d of %d bytes does not fit", g.frames, len(body))
	}
	g.frames++
	g.data = append(g.data, body...)
	return nil
}

// whole gives the snapshot once all frames were taken.
func (g *gather) whole() (raft.Point, error) {
	h := g.head
	if g.frames != h.Frames || uint64(len(g.data)) != h.Size || crc32.Checksum(g.data, castagnoli) != h.Sum {
		return raft.Point{}, torn("snapshot", "%d of %d frames, %d of %d bytes, or their sum", g.frames, h.Frames, len(g.data), h.Size)
	}
	p := h.Point
	p.Data = g.data
	return p, nil
}
