package state

import (
	"crypto/sha256"
	"sort"
)

// MaxAcceptedRecords is the number of accepted configurations that are recorded.
// Operators resend an update within minutes. A busy day has some 11,000 updates, and
// a record takes about 30 bytes of the snapshot.
const MaxAcceptedRecords = 4096

// MaxRefusedRecords is the number of refused updates with a base above the current
// version that are recorded. Only such an update could be accepted after it was
// refused. They are rare, since operators base updates on a version that they read.
const MaxRefusedRecords = 256

// ConfigurationDigest identifies the text of a configuration update.
type ConfigurationDigest [16]byte

// ConfigurationRecord is one accepted or refused configuration update.
type ConfigurationRecord struct {
	_           struct{} `cbor:",toarray"`
	BaseVersion int64
	Version     int64 // version put into force; 0 for a refused update
	Digest      ConfigurationDigest
}

// ConfigurationHistory records configuration updates, so that a resent update has the
// same outcome as the first time, whatever was accepted in between. At most one
// accepted update has a given version as its base, and the version that it puts into
// force is the base of the next. So Accepted is a chain, ordered by BaseVersion and by
// Version. The versions of records that were dropped from its front are at most the
// BaseVersion of its first record.
type ConfigurationHistory struct {
	_        struct{} `cbor:",toarray"`
	Accepted []ConfigurationRecord
	Refused  []ConfigurationRecord
}

// configurationDigest returns the first half of the SHA-256 hash of an update's text.
func configurationDigest(raw []byte) ConfigurationDigest {
	digest := sha256.Sum256(raw)
	return ConfigurationDigest(digest[:len(ConfigurationDigest{})])
}

// acceptedOn returns the record of the accepted update that was based on a version.
func (h *ConfigurationHistory) acceptedOn(base int64) (ConfigurationRecord, bool) {
	i := sort.Search(len(h.Accepted), func(i int) bool { return h.Accepted[i].BaseVersion >= base })
	if i == len(h.Accepted) || h.Accepted[i].BaseVersion != base {
		return ConfigurationRecord{}, false
	}
	return h.Accepted[i], true
}

// recordAccepted adds an update that was put into force.
func (h *ConfigurationHistory) recordAccepted(base, version int64, digest ConfigurationDigest) {
	h.Accepted = append(h.Accepted, ConfigurationRecord{BaseVersion: base, Version: version, Digest: digest})
	h.Accepted = lastRecords(h.Accepted, MaxAcceptedRecords)
}

// recordRefused records that an update was refused because its base version is not in
// force yet.
func (h *ConfigurationHistory) recordRefused(base int64, digest ConfigurationDigest) {
	if !h.wasRefused(base, digest) {
		h.Refused = append(h.Refused, ConfigurationRecord{BaseVersion: base, Digest: digest})
		h.Refused = lastRecords(h.Refused, MaxRefusedRecords)
	}
}

func (h *ConfigurationHistory) wasRefused(base int64, digest ConfigurationDigest) bool {
	for _, record := range h.Refused {
		if record.BaseVersion == base && record.Digest == digest {
			return true
		}
	}
	return false
}

// oldestRecordedBase returns the version below which no update based on it is recorded:
// 0 while all accepted updates are recorded, and the current version in a state that
// was saved before this history existed.
func (h *ConfigurationHistory) oldestRecordedBase(current int64) int64 {
	if len(h.Accepted) == 0 {
		return current
	}
	return h.Accepted[0].BaseVersion
}

// lastRecords returns the last records of a list, at most limit of them.
func lastRecords(records []ConfigurationRecord, limit int) []ConfigurationRecord {
	if len(records) <= limit {
		return records
	}
	return records[len(records)-limit:]
}
