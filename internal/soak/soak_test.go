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

// A longer soak by hand:
//
//	go test ./internal/soak -run TestSoak -timeout 60m -v -args -seeds 50 -first 100 -program target/tealpond
var (
	seedCount = flag.Int("seeds", 3, "how many seeds TestSoak plays")
	firstSeed = flag.Uint64("first", 1, "the first of them")
	atOnce    = flag.Int("at-once", 2, "how many are played at once")
	program   = flag.String("program", "", "the built program; empty: it is built")
	onlyRole  = flag.String("role", "", "the role of the daemons; empty: in turn")
	servers   = flag.Int("servers", 3, "daemons with a disk")
	proxies   = flag.Int("proxies", 2, "daemons without one")
	clients   = flag.Int("clients", 40, "clients")
	memory    = flag.Int("memory", 184, "the memory of each daemon that the settings name, in MB")
	files     = flag.Uint64("files", 0, "open files of each daemon at most; 0: as this process may")
	length    = flag.Duration("length", 12*time.Second, "how long a schedule is")
)

// graceTime is that of the operators' gateways.
const graceTime = 6 * time.Second

// buildProgram returns the path of the built program.
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

// TestSoak plays schedules of signals, changes and restarts on real processes, by seed.
func TestSoak(t *testing.T) {
	path := buildProgram(t)
	places := make(chan struct{}, *atOnce)
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			playSeed(t, path, seed)
		})
	}
}

// roleOf returns the role of a seed's daemons: of three seeds one is of edges.
func roleOf(seed uint64) string {
	switch {
	case *onlyRole != "":
		return *onlyRole
	case seed%3 == 0:
		return edgeRole
	}
	return gatewayRole
}

// playSeed plays a seed and reports what it found.
func playSeed(t *testing.T, path string, seed uint64) {
	t.Helper()
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	result, err := Run(t.Context(), Options{
		Program: path, Role: roleOf(seed), Directory: directory, Seed: seed, Subnet: localcluster.Subnet{A: byte(80 + seed/200%100), B: byte(seed % 200)},
		Servers: *servers, Proxies: *proxies, Runners: 6, Clients: *clients, Length: *length, Grace: graceTime, MemoryMb: *memory, MaxFiles: *files,
	})
	if err != nil {
		t.Fatalf("%v\n%s", err, result.Schedule)
	}
	t.Log(result.Summary())
	if len(result.Violations) > 0 {
		t.Error(result.Report())
	}
}
