package state

// CommandNames returns the names of the registered commands, in no particular order.
func CommandNames() []string {
	var names []string
	for name := range commandConstructors {
		names = append(names, name)
	}
	return names
}

// GoneWorkerRetention exports goneWorkerRetention for tests in package state_test.
const GoneWorkerRetention = goneWorkerRetention
