package storage

import (
	"io"
	"strings"

	"tealpond/internal/raft"
)

// Recovered is the content of a file when it was opened.
type Recovered struct {
	ID          string // identity of the file, and of the member
	HardState   raft.HardState
	Snapshot    raft.Snapshot
	Entries     []raft.Entry  // the entries after the snapshot, without a gap
	Founders    []raft.Member // see Bootstrap; empty before it
	Commit      uint64        // highest index known to be committed; 0 in files of earlier versions
	NewIdentity bool          // the file was created by this call
	FirstStart  bool          // see MarkFirstStart
	// QuarantineReason is the reason why an earlier file was quarantined; empty if none was.
	QuarantineReason string
}

// isUnused reports whether the file holds no Raft state and no founders.
func (r *Recovered) isUnused() bool {
	return r.HardState == (raft.HardState{}) && r.Snapshot.Index == 0 && len(r.Entries) == 0 && len(r.Founders) == 0
}

// recordReader collects the records of a file.
type recordReader struct {
	recovered Recovered
	buckets   int
	meta      map[string][]byte // records of the bucket "meta" by key
	snapshot  snapshotReader
}

// recoverFile verifies and reads a whole file. It returns the content, the meta page
// and the generation of the snapshot.
func recoverFile(reader io.ReaderAt, size int64) (Recovered, boltMeta, uint64, error) {
	records := &recordReader{meta: map[string][]byte{}}
	if size == 0 {
		return Recovered{}, boltMeta{}, 0, errUninitialized
	}
	meta, err := walkFile(reader, size, records.readRecord)
	if err != nil {
		return Recovered{}, meta, 0, err
	}
	if records.buckets == 0 && len(records.meta) == 0 && len(records.recovered.Entries) == 0 {
		return Recovered{}, meta, 0, errUninitialized
	}
	if err := records.finish(); err != nil {
		return Recovered{}, meta, 0, err
	}
	return records.recovered, meta, records.snapshot.header.Generation, nil
}

// readRecord processes one record, in the order of the file. At the start of a bucket the
// key is nil.
func (r *recordReader) readRecord(bucket string, key, value []byte) error {
	generation, isFrame := strings.CutPrefix(bucket, "/"+string(bucketSnapshots)+"/")
	switch {
	case key == nil:
		r.buckets++
		if bucket == "/"+string(bucketSnapshots) {
			return r.readSnapshotHeader()
		}
		return nil
	case bucket == "/"+string(bucketMeta):
		r.meta[string(key)] = value
		return nil
	case bucket == "/"+string(bucketLog):
		return r.readEntry(key, value)
	case isFrame:
		return r.snapshot.addFrame(generation, key, value)
	}
	return corrupt("bucket", "unknown name %q", bucket)
}

// readSnapshotHeader decodes the header of the active snapshot, if there is one.
func (r *recordReader) readSnapshotHeader() error {
	raw := r.meta[string(keySnapshotHeader)]
	if raw == nil {
		return nil
	}
	r.snapshot.hasHeader = true
	return decodeRecord(keySnapshotHeader, raw, &r.snapshot.header)
}

func (r *recordReader) readEntry(key, value []byte) error {
	if len(key) != keyBytes {
		return corrupt("log", "unexpected key length of %d bytes", len(key))
	}
	var entry raft.Entry
	if err := decodeRecord(key, value, &entry); err != nil {
		return err
	}
	if keyIndex := decodeKey(key); entry.Index != keyIndex {
		return corrupt("log", "entry %d is stored under the key of entry %d", entry.Index, keyIndex)
	}
	r.recovered.Entries = append(r.recovered.Entries, entry)
	return nil
}

// finish decodes the records that can only be interpreted once all records were read, and checks the log.
func (r *recordReader) finish() error {
	recovered := &r.recovered
	id, _, err := verifyChecksum(keyIdentity, r.meta[string(keyIdentity)])
	if err != nil {
		return err
	}
	if recovered.ID = string(id); recovered.ID == "" {
		return corrupt("meta", "identity is missing")
	}
	for _, field := range []struct {
		key  []byte
		into any
	}{{keyHardState, &recovered.HardState}, {keyFounders, &recovered.Founders}, {keyFirstStart, &recovered.FirstStart}, {keyCommit, &recovered.Commit}} {
		if raw := r.meta[string(field.key)]; raw != nil {
			if err := decodeRecord(field.key, raw, field.into); err != nil {
				return err
			}
		}
	}
	if raw := r.meta[string(keyLegacySnapshot)]; raw != nil {
		if recovered.Snapshot, err = decodeLegacySnapshot(raw); err != nil {
			return err
		}
	}
	if r.meta[string(keySnapshotHeader)] != nil {
		if recovered.Snapshot, err = r.snapshot.assemble(); err != nil {
			return err
		}
	}
	// Earlier versions may have left entries that the snapshot already covers.
	for len(recovered.Entries) > 0 && recovered.Entries[0].Index <= recovered.Snapshot.Index {
		recovered.Entries = recovered.Entries[1:]
	}
	return checkLog(recovered.Snapshot, recovered.Entries)
}

// legacySnapshot is a snapshot in the format of the first version.
type legacySnapshot struct {
	_      struct{} `cbor:",toarray"`
	Index  uint64
	Term   uint64
	Voters []raft.Member
	Data   []byte
}

// decodeLegacySnapshot decodes a snapshot that is stored as one record. A record of the first
// version can be read even if the encoding of raft.Snapshot has changed since.
func decodeLegacySnapshot(raw []byte) (raft.Snapshot, error) {
	var snapshot raft.Snapshot
	err := decodeRecord(keyLegacySnapshot, raw, &snapshot)
	var legacy legacySnapshot
	if err != nil && decodeRecord(keyLegacySnapshot, raw, &legacy) == nil {
		return raft.Snapshot{Index: legacy.Index, Term: legacy.Term, Voters: legacy.Voters, Data: legacy.Data}, nil
	}
	return snapshot, err
}

// checkLog verifies the invariants of the log: its indexes follow the snapshot
// without a gap, and its terms never decrease.
//
// A log that violates them has lost records that were synced. The part below the gap
// cannot be kept under this identity: entries above it may have been acknowledged
// and counted by the leader, and this member's vote could then help to elect a
// leader that lacks them. The remaining records do not show which ones are missing, so the
// whole file is treated as corrupt.
func checkLog(snapshot raft.Snapshot, entries []raft.Entry) error {
	index, term := snapshot.Index, snapshot.Term
	for _, entry := range entries {
		if entry.Index != index+1 {
			return corrupt("log", "entry %d follows %d", entry.Index, index)
		}
		if entry.Term < term {
			return corrupt("log", "entry %d: term decreases to %d from %d", entry.Index, entry.Term, term)
		}
		index, term = entry.Index, entry.Term
	}
	return nil
}
