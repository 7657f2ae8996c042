package store

// Kinds lists the registered commands, for tests outside the package.
func Kinds() []string {
	var out []string
	for k := range kinds {
		out = append(out, k)
	}
	return out
}

// StateOf is what a frozen state holds.
func StateOf(f *Frozen) *Store {
	f.Save()
	return f.s
}
