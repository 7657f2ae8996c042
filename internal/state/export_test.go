package state

// CommandNames lists the registered commands, for tests outside the package.
func CommandNames() []string {
	var out []string
	for k := range commandConstructors {
		out = append(out, k)
	}
	return out
}

// SnapshotStore is what a frozen state holds.
func SnapshotStore(f *Snapshot) *Store {
	f.Encode()
	return f.store
}
