package server

import (
	"tealpond/internal/clusterconfig"
)

// configUpdates makes the changes that lead from earlier configurations to the newest one,
// once for all daemons that lack the same. It is not part of the state.
type configUpdates struct {
	texts   map[int64][]byte // of the last versions
	changes map[int64][]byte // from a version to newest; nil: it must be sent whole
	newest  int64
}

// keptConfigTexts is how many versions are remembered. Daemons that lack more are told the
// whole.
const keptConfigTexts = 8

// since returns a configuration to a daemon that has a version: the change from that one, or
// the whole text and 0.
func (n *configUpdates) since(version int64, newest *clusterconfig.Config) (text []byte, base int64) {
	n.remember(newest)
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

// remember keeps the text of a configuration, and forgets that of the oldest.
func (n *configUpdates) remember(newest *clusterconfig.Config) {
	if n.newest == newest.Version {
		return
	}
	if n.texts == nil {
		n.texts = map[int64][]byte{}
	}
	n.newest, n.changes = newest.Version, map[int64][]byte{}
	n.texts[newest.Version] = newest.Raw
	for len(n.texts) > keptConfigTexts {
		oldest := newest.Version
		for version := range n.texts {
			oldest = min(oldest, version)
		}
		delete(n.texts, oldest)
	}
}
