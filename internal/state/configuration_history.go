package state

import (
	"crypto/sha256"
	"sort"
)

// MaxAcceptedRecords is how many accepted configurations are remembered.
// Operators send an order again within minutes; a busy day holds some 11,000
// changes and one record takes about 30 bytes of the snapshot.
const MaxAcceptedRecords = 4096

// MaxRefusedRecords is how many refusals are remembered of orders on a version
// that was never in force. Only such an order could be accepted after it was
// refused, and operators build on versions that they have seen.
const MaxRefusedRecords = 256

// ConfigurationDigest identifies the text of a configuration.
type ConfigurationDigest [16]byte

// ConfigurationRecord is one accepted configuration, or a refused one.
type ConfigurationRecord struct {
	_           struct{} `cbor:",toarray"`
	BaseVersion int64
	Version     int64 // 0 for a refused one
	Digest      ConfigurationDigest
}

// ConfigurationHistory remembers the configurations that were accepted, so that
// an order that is sent again has the outcome that it had at first, however many
// changes came between. Each version is built on once and the version that
// follows is the next base, so the accepted ones form a chain: Accepted is
// ordered by BaseVersion and by Version, and what was dropped from its front
// lies at or below the first BaseVersion.
type ConfigurationHistory struct {
	_        struct{} `cbor:",toarray"`
	Accepted []ConfigurationRecord
	Refused  []ConfigurationRecord
}

// configurationDigest is the first half of the SHA-256 of a configuration's text.
func configurationDigest(raw []byte) ConfigurationDigest {
	sum := sha256.Sum256(raw)
	return ConfigurationDigest(sum[:16])
}

// acceptedOn finds the accepted configuration that was built on a base.
func (h *ConfigurationHistory) acceptedOn(base int64) (ConfigurationRecord, bool) {
	i := sort.Search(len(h.Accepted), func(i int) bool { return h.Accepted[i].BaseVersion >= base })
	if i == len(h.Accepted) || h.Accepted[i].BaseVersion != base {
		return ConfigurationRecord{}, false
	}
	return h.Accepted[i], true
}

// recordAccepted adds a configuration that was put in force.
func (h *ConfigurationHistory) recordAccepted(base, version int64, digest ConfigurationDigest) {
	h.Accepted = append(h.Accepted, ConfigurationRecord{BaseVersion: base, Version: version, Digest: digest})
	h.Accepted = lastRecords(h.Accepted, MaxAcceptedRecords)
}

// recordRefused notes that an order on a version that isn't in force was refused.
func (h *ConfigurationHistory) recordRefused(base int64, digest ConfigurationDigest) {
	if !h.wasRefused(base, digest) {
		h.Refused = append(h.Refused, ConfigurationRecord{BaseVersion: base, Digest: digest})
		h.Refused = lastRecords(h.Refused, MaxRefusedRecords)
	}
}

func (h *ConfigurationHistory) wasRefused(base int64, digest ConfigurationDigest) bool {
	for _, r := range h.Refused {
		if r.BaseVersion == base && r.Digest == digest {
			return true
		}
	}
	return false
}

// forgottenVersion is the version up to which nothing is known any more: 0 while all
// accepted configurations are remembered, and the current version in a state
// that was saved before there were records.
func (h *ConfigurationHistory) forgottenVersion(current int64) int64 {
	if len(h.Accepted) == 0 {
		return current
	}
	return h.Accepted[0].BaseVersion
}

// lastRecords keeps the last so many records.
func lastRecords(records []ConfigurationRecord, most int) []ConfigurationRecord {
	if len(records) <= most {
		return records
	}
	return records[len(records)-most:]
}
