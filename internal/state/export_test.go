package state

// CommandNames lists the names of the registered commands, for tests outside
// the package.
func CommandNames() []string {
	var names []string
	for name := range commandConstructors {
		names = append(names, name)
	}
	return names
}

// GoneWorkerRetention is goneWorkerRetention.
const GoneWorkerRetention = goneWorkerRetention
