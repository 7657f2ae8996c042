package server

import (
	"tealpond/internal/clusterconfig"
)

// configUpdates computes the diffs from earlier configurations to the newest one, each once for
// all daemons that have the same version. It is not part of the replicated state.
type configUpdates struct {
	texts   map[int64][]byte // by version: the texts of the last versions
	changes map[int64][]byte // by version: the diff to newest; nil if the whole text must be sent
	newest  int64            // version
}

// maxConfigTexts is the number of versions whose texts are kept. Daemons with an older version
// are sent the whole text.
const maxConfigTexts = 8

// since returns the update for a daemon that has a version: the diff from that version, or the
// whole text with base 0.
func (u *configUpdates) since(version int64, newest *clusterconfig.Config) (text []byte, base int64) {
	u.recordText(newest)
	change, made := u.changes[version]
	if from := u.texts[version]; !made && from != nil {
		if diff, ok := clusterconfig.Diff(from, newest.Raw); ok && len(diff) < len(newest.Raw) {
			change = diff
		}
		u.changes[version] = change
	}
	if change == nil {
		return newest.Raw, 0
	}
	return change, version
}

// recordText keeps the text of the newest configuration, and removes the oldest ones.
func (u *configUpdates) recordText(newest *clusterconfig.Config) {
	if u.newest == newest.Version {
		return
	}
	if u.texts == nil {
		u.texts = map[int64][]byte{}
	}
	u.newest, u.changes = newest.Version, map[int64][]byte{}
	u.texts[newest.Version] = newest.Raw
	for len(u.texts) > maxConfigTexts {
		oldest := newest.Version
		for version := range u.texts {
			oldest = min(oldest, version)
		}
		delete(u.texts, oldest)
	}
}
