package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"tealpond/internal/localcluster"
)

// To run a longer soak manually:
//
//	go test ./internal/soak -run TestSoak -timeout 60m -v -args -seeds 50 -first 100 -program target/tealpond
var (
	seedCount = flag.Int("seeds", 3, "number of seeds that TestSoak runs")
	firstSeed = flag.Uint64("first", 1, "the first seed")
	atOnce    = flag.Int("at-once", 2, "number of seeds that run concurrently")
	program   = flag.String("program", "", "path of the program; if empty, it is built")
	onlyRole  = flag.String("role", "", "role of the daemons; if empty, it depends on the seed")
	servers   = flag.Int("servers", 3, "number of daemons with a disk")
	proxies   = flag.Int("proxies", 2, "number of daemons without a disk")
	clients   = flag.Int("clients", 40, "number of clients")
	memory    = flag.Int("memory", 184, "memory limit in the settings of each daemon, in MB")
	files     = flag.Uint64("files", 0, "limit of open files of each daemon; 0: the limit of this process")
	length    = flag.Duration("length", 12*time.Second, "length of a schedule")
)

// gracePeriod is the grace period of the operators' gateways.
const gracePeriod = 6 * time.Second

// buildProgram builds the program, unless one is given, and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	if *program != "" {
		path, err := filepath.Abs(filepath.Join("../..", *program))
		if err != nil {
			t.Fatal(err)
		}
		return path
	}
	path := filepath.Join(t.TempDir(), "tealpond")
	build := exec.Command("go", "build", "-trimpath", "-buildvcs=false", "-ldflags=-linkmode=external -s -w", "-o", path, "./cmd/tealpond")
	build.Dir = "../.."
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return path
}

// TestSoak runs schedules of signals, changes and restarts against real processes, one per seed, and
// checks that no rule is violated.
func TestSoak(t *testing.T) {
	path := buildProgram(t)
	semaphore := make(chan struct{}, *atOnce)
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			runSeed(t, path, seed)
		})
	}
}

// roleForSeed returns the role of the daemons of a seed. Every third seed uses edges.
func roleForSeed(seed uint64) string {
	switch {
	case *onlyRole != "":
		return *onlyRole
	case seed%3 == 0:
		return edgeRole
	}
	return gatewayRole
}

// runSeed runs the schedule of a seed and reports violations.
func runSeed(t *testing.T, path string, seed uint64) {
	t.Helper()
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	result, err := Run(t.Context(), Options{
		Program: path, Role: roleForSeed(seed), Directory: directory, Seed: seed, Subnet: localcluster.Subnet{A: byte(80 + seed/200%100), B: byte(seed % 200)},
		Servers: *servers, Proxies: *proxies, Runners: 6, Clients: *clients, Length: *length, Grace: gracePeriod, MemoryMB: *memory, MaxFiles: *files,
	})
	if err != nil {
		t.Fatalf("%v\n%s", err, result.Schedule)
	}
	t.Log(result.Summary())
	if len(result.Violations) > 0 {
		t.Error(result.Report())
	}
}
