package tuning

import "time"

// The process itself.
const (
	// GCPercent is how much the heap grows between two garbage collections, in
	// percent. Memory has a price, and heaps are small here.
	GCPercent = 25
	// MemoryLimitFraction is the part of the setting memoryMb that becomes the
	// memory limit of the Go runtime.
	MemoryLimitFraction = 0.7
	// SettingsPollInterval is the time between two checks of the settings file
	// for changes.
	SettingsPollInterval = 2 * time.Second
	// TraceRingLength is the number of trace marks that each daemon keeps: about
	// a quarter of a megabyte, and some seconds of a busy day.
	TraceRingLength = 2048
)

// Command-line tools that ask the daemons.
const (
	// ToolRequestTimeout is how long a tool waits for one daemon.
	ToolRequestTimeout = 2 * time.Second
	// ToolTotalTimeout is how long a tool may take in all.
	ToolTotalTimeout = 15 * time.Second
	// MaxQueryRows is the number of rows of one table that a query sees.
	MaxQueryRows = 5000
)
