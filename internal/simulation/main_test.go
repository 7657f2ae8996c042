package simulation

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"runtime"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"
)

// childEnvironment is the environment variable of a process that runs one test.
const childEnvironment = "TEALPOND_SIM_CHILD"

// TestMain runs each test in a process of its own that has one P, several side by side.
// Under the race detector the timers of a synctest bubble were once run by another
// thread than the bubble's, and the runtime itself failed; with one P there is no other.
// The race detector orders events, not threads, so it sees as much. With -run, tests run
// in this process as usual.
func TestMain(m *testing.M) {
	flag.Parse()
	named := false
	for _, f := range []string{"test.run", "test.list", "test.bench", "test.fuzz", "test.cpuprofile"} {
		named = named || flag.Lookup(f).Value.String() != ""
	}
	if os.Getenv(childEnvironment) != "" || named {
		os.Exit(m.Run())
	}
	os.Exit(runEachTest())
}

// splitTests names the tests whose subtests get a process each, with the subtests' names
// at the first level.
var splitTests = map[string][]string{
	"TestMoveAtEveryStep":  moveEvents,
	"TestStormyDay":        {"1", "2", "3", "4", "5"},
	"TestFarBehind":        {"1", "2"},
	"TestLeaderIsolated":   isolations,
	"TestFollowerIsolated": isolations,
}

// testPatterns gives the patterns that select what each process runs, the longest first,
// so that the whole ends soonest.
func testPatterns() ([]string, error) {
	raw, err := exec.Command(os.Args[0], "-test.list", ".").Output()
	if err != nil {
		return nil, fmt.Errorf("the tests can't be listed: %w", err)
	}
	var patterns []string
	split := 0
	for _, name := range strings.Fields(string(raw)) {
		if !strings.HasPrefix(name, "Test") {
			continue
		}
		subtests := splitTests[name]
		if len(subtests) == 0 {
			patterns = append(patterns, "^"+name+"$")
			continue
		}
		split++
		for _, subtest := range subtests {
			patterns = append(patterns, "^"+name+"$/^"+regexp.QuoteMeta(subtest)+"$")
		}
	}
	if len(patterns) == 0 {
		return nil, errors.New("no test was found")
	}
	if split != len(splitTests) {
		return nil, errors.New("splitTests names a test that doesn't exist")
	}
	sort.SliceStable(patterns, func(a, b int) bool { return startRank(patterns[a]) > startRank(patterns[b]) })
	return patterns, nil
}

// runEachTest runs all tests and gives the exit code: 1 if one failed, or none ran.
func runEachTest() int {
	patterns, err := testPatterns()
	if err != nil {
		fmt.Println("FAIL:", err)
		return 1
	}
	var mu sync.Mutex
	failed := 0
	slots := make(chan struct{}, max(runtime.NumCPU()/2, 1))
	var all sync.WaitGroup
	for _, pattern := range patterns {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			out, took, err := runChild(pattern)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				fmt.Printf("--- FAIL: %s (%.1fs): %v\n%s\n", pattern, took.Seconds(), err, out)
			} else if testing.Verbose() {
				fmt.Printf("--- PASS: %s (%.1fs)\n%s\n", pattern, took.Seconds(), out)
			}
		})
	}
	all.Wait()
	if failed > 0 {
		fmt.Printf("FAIL: %d of %d\n", failed, len(patterns))
		return 1
	}
	fmt.Println("PASS")
	return 0
}

// startRank is higher for tests that take longer.
func startRank(pattern string) int {
	for i, name := range []string{"TestFarBehind", "TestMoveAtEveryStep", "TestCancelInMidMove", "TestPeak", "TestStormyDay"} {
		if strings.Contains(pattern, name) {
			return i + 1
		}
	}
	return 0
}

// skipPattern is the pattern of tests that the flag -skip leaves out.
func skipPattern() string { return flag.Lookup("test.skip").Value.String() }

// runChild runs one test in a process of its own.
func runChild(pattern string) ([]byte, time.Duration, error) {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Minute)
	defer stop()
	command := exec.CommandContext(ctx, os.Args[0], "-test.run", pattern, "-test.skip", skipPattern(), "-test.v="+fmt.Sprint(testing.Verbose()), "-test.timeout=7m")
	command.Env = append(os.Environ(), childEnvironment+"=1", "GOMAXPROCS=1")
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	start := time.Now()
	err := command.Run()
	return out.Bytes(), time.Since(start), err
}
