package state

import (
	"crypto/sha256"
	"sort"
)

// MaxAcceptedRecords is how many accepted configurations are remembered.
// Operators repeat an update within minutes; a busy day has some 11,000 updates,
// and one record takes about 30 bytes of the snapshot.
const MaxAcceptedRecords = 4096

// MaxRefusedRecords is how many refused updates are remembered that were based on a
// version above the present one. Only such an update could be accepted after it was
// refused; they are rare, since operators base updates on versions that they read.
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
// an update that is sent again has the outcome that it had at first, however many
// were accepted in between. Each version is the base of one accepted update at
// most, and the version that this puts in force is the next base: Accepted is a
// chain, ordered by BaseVersion and by Version. Versions of records that were
// dropped from its front are at most the first BaseVersion.
type ConfigurationHistory struct {
	_        struct{} `cbor:",toarray"`
	Accepted []ConfigurationRecord
	Refused  []ConfigurationRecord
}

// configurationDigest is the first half of the SHA-256 of a configuration's text.
func configurationDigest(raw []byte) ConfigurationDigest {
	digest := sha256.Sum256(raw)
	return ConfigurationDigest(digest[:len(ConfigurationDigest{})])
}

// acceptedOn finds the accepted configuration that was based on a version.
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

// recordRefused notes that an update based on a version that isn't in force yet was
// refused.
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

// forgottenVersion is the version below which no update based on it is remembered:
// 0 while all accepted configurations are remembered, and the current version in a
// state that was saved before this history existed.
func (h *ConfigurationHistory) forgottenVersion(current int64) int64 {
	if len(h.Accepted) == 0 {
		return current
	}
	return h.Accepted[0].BaseVersion
}

// lastRecords returns the last records, as many as most.
func lastRecords(records []ConfigurationRecord, most int) []ConfigurationRecord {
	if len(records) <= most {
		return records
	}
	return records[len(records)-most:]
}
