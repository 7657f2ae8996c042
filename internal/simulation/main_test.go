package simulation

import (
	"bytes"
	"context"
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

// childEnvironment is set in the environment of the process that plays one test.
const childEnvironment = "TEALPOND_SIM_CHILD"

// TestMain plays each test in a process of its own that runs on one P, several
// side by side. Why: under the race detector the timers of a synctest bubble
// were once run by another thread than the bubble's, and the runtime itself
// fell over; on one P there is no other. The race detector orders events, not
// threads, so it sees as much. A test named by -run runs here, as ever.
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

// splitTests splits a test whose subtests are many into processes by their first
// names.
var splitTests = map[string][]string{
	"TestMoveAtEveryStep": moveEvents,
	"TestStormyDay":       {"1", "2", "3", "4", "5"},
	"TestFarBehind":       {"1", "2"},
	"TestLeaderCutOff":    isolations,
	"TestFollowerCutOff":  isolations,
}

// runEachTest plays all tests and gives the exit code: 1 if one failed, or none ran.
func runEachTest() int {
	raw, err := exec.Command(os.Args[0], "-test.list", ".").Output()
	if err != nil {
		fmt.Println("FAIL: the tests can't be listed:", err)
		return 1
	}
	var names []string
	for _, n := range strings.Fields(string(raw)) {
		if !strings.HasPrefix(n, "Test") {
			continue
		}
		if ps := splitTests[n]; len(ps) > 0 {
			for _, p := range ps {
				names = append(names, "^"+n+"$/^"+regexp.QuoteMeta(p)+"$")
			}
			continue
		}
		names = append(names, "^"+n+"$")
	}
	if len(names) == 0 {
		fmt.Println("FAIL: no test was found")
		return 1
	}
	// Why the longest first: the whole then ends soonest.
	sort.SliceStable(names, func(a, b int) bool { return startRank(names[a]) > startRank(names[b]) })
	var mu sync.Mutex
	bad := 0
	gate := make(chan struct{}, max(runtime.NumCPU()/2, 1))
	var all sync.WaitGroup
	for _, n := range names {
		all.Add(1)
		gate <- struct{}{}
		go func() {
			defer func() { <-gate; all.Done() }()
			out, took, err := runChild(n)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				bad++
				fmt.Printf("--- FAIL: %s (%.1fs): %v\n%s\n", n, took.Seconds(), err, out)
			} else if testing.Verbose() {
				fmt.Printf("--- PASS: %s (%.1fs)\n%s\n", n, took.Seconds(), out)
			}
		}()
	}
	all.Wait()
	if bad > 0 {
		fmt.Printf("FAIL: %d of %d\n", bad, len(names))
		return 1
	}
	fmt.Println("PASS")
	return 0
}

// startRank tells roughly how long a test takes.
func startRank(n string) int {
	for i, s := range []string{"TestFarBehind", "TestMoveAtEveryStep", "TestCancelInMidMove", "TestPeak", "TestStormyDay"} {
		if strings.Contains(n, s) {
			return i + 1
		}
	}
	return 0
}

// skipPattern is the pattern of tests that are passed over, as -skip says.
func skipPattern() string { return flag.Lookup("test.skip").Value.String() }

func runChild(name string) ([]byte, time.Duration, error) {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Minute)
	defer stop()
	q := exec.CommandContext(ctx, os.Args[0], "-test.run", name, "-test.skip", skipPattern(), "-test.v="+fmt.Sprint(testing.Verbose()), "-test.timeout=7m")
	q.Env = append(os.Environ(), childEnvironment+"=1", "GOMAXPROCS=1")
	var out bytes.Buffer
	q.Stdout, q.Stderr = &out, &out
	from := time.Now()
	err := q.Run()
	return out.Bytes(), time.Since(from), err
}
