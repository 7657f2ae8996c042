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
func (n *configUpdates) since(version int64, newest *clusterconfig.Config) (text []byte, base int64) {
	n.recordText(newest)
	change, made := n.changes[version]
	if from := n.texts[version]; !made && from != nil {
		if diff, ok := clusterconfig.Diff(from, newest.Raw); ok && len(diff) < len(newest.Raw) {
			change = diff
		}
		n.changes[version] = change
	}
	if change == nil {
		return newest.Raw, 0
	}
	return change, version
}

// recordText keeps the text of the newest configuration, and removes the oldest ones.
func (n *configUpdates) recordText(newest *clusterconfig.Config) {
	if n.newest == newest.Version {
		return
	}
	if n.texts == nil {
		n.texts = map[int64][]byte{}
	}
	n.newest, n.changes = newest.Version, map[int64][]byte{}
	n.texts[newest.Version] = newest.Raw
	for len(n.texts) > maxConfigTexts {
		oldest := newest.Version
		for version := range n.texts {
			oldest = min(oldest, version)
		}
		delete(n.texts, oldest)
	}
}
