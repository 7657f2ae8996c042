package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"tealpond/internal/protocol"
)

// Routes of the configuration, and the bodies that clients send there.
const (
	routeHost    = "h"
	readPath     = "/read/"
	writePath    = "/write/"
	uploadPath   = "/upload/"
	downloadPath = "/download/"
	jobPath      = "/p/"
	// uploadBytes is the size of an upload, in bytes.
	uploadBytes = 60_000
	// partPause is the longest pause between two parts of a body.
	partPause = 60 * time.Millisecond
	// downloadBytes is the size of a large answer, in bytes: beyond what kernels hold.
	downloadBytes = 700_000
	// slowReadPause is the pause of slow readers after each part: such an answer takes them
	// about two seconds.
	slowReadPause = 10 * time.Millisecond
	// kernelBytes is the size of an answer beyond what kernels hold for a connection, and
	// stallTime how long such an answer is left unread: with the rest of the time to read it,
	// well below the grace time of a daemon.
	kernelBytes = 6 << 20
	stallTime   = 2500 * time.Millisecond
)

// habit is how a client uses its connections.
type habit struct {
	name  string
	fresh bool // a new connection for each request
	slow  bool // the kernel holds little for it
	// control: it calls the port of operators and applications.
	control bool
	pause   time.Duration
	// next draws the requests that are sent behind each other next.
	next func(*rand.Rand) []order
}

// sharedHabit is a habit and how many clients in 20 have it.
type sharedHabit struct {
	share int
	habit habit
}

// habitsOf are those of the clients of each role.
var habitsOf = map[string][]sharedHabit{gatewayRole: gatewayHabits, edgeRole: edgeHabits}

var gatewayHabits = []sharedHabit{
	{4, habit{name: "kept reads", pause: 20 * time.Millisecond, next: one(read)}},
	{3, habit{name: "kept writes", pause: 20 * time.Millisecond, next: one(write)}},
	{4, habit{name: "behind each other", pause: 20 * time.Millisecond, next: several(read)}},
	{2, habit{name: "reads and writes behind each other", pause: 20 * time.Millisecond, next: several(readOrWrite)}},
	{2, habit{name: "fresh", fresh: true, pause: 20 * time.Millisecond, next: one(readOrWrite)}},
	{1, habit{name: "slow reader", slow: true, pause: 20 * time.Millisecond, next: one(slowDownload)}},
	{1, habit{name: "slow reader with more behind", slow: true, pause: 20 * time.Millisecond, next: downloadThenReads}},
	{1, habit{name: "stalling reader", slow: true, pause: 20 * time.Millisecond, next: one(stalledDownload)}},
	{1, habit{name: "bodies in parts", pause: 20 * time.Millisecond, next: one(uploadInParts)}},
	{1, habit{name: "uploads", pause: 20 * time.Millisecond, next: one(upload)}},
	{1, habit{name: "long work", pause: 20 * time.Millisecond, next: one(longWork)}},
}

var edgeHabits = []sharedHabit{
	{4, habit{name: "locks", control: true, pause: 20 * time.Millisecond, next: one(acquireLock)}},
	{2, habit{name: "locks, fresh", control: true, fresh: true, pause: 20 * time.Millisecond, next: one(acquireLock)}},
	{2, habit{name: "locks behind each other", control: true, pause: 20 * time.Millisecond, next: several(acquireLock)}},
	{3, habit{name: "puts", control: true, pause: 20 * time.Millisecond, next: one(put)}},
	{2, habit{name: "numbers", control: true, pause: 20 * time.Millisecond, next: one(number)}},
	{4, habit{name: "watches", control: true, pause: 20 * time.Millisecond, next: one(watch)}},
	{3, habit{name: "jobs", pause: 20 * time.Millisecond, next: one(submitOrAsk)}},
}

// one draws a single request.
func one(draw func(*rand.Rand) order) func(*rand.Rand) []order {
	return func(random *rand.Rand) []order { return []order{draw(random)} }
}

// several draws two to six requests.
func several(draw func(*rand.Rand) order) func(*rand.Rand) []order {
	return func(random *rand.Rand) []order {
		var orders []order
		for range 2 + random.IntN(5) {
			orders = append(orders, draw(random))
		}
		return orders
	}
}

// workQuery asks for so much work.
func workQuery(random *rand.Rand, least, most int) string {
	return fmt.Sprintf("work=%d", least+random.IntN(most-least))
}

func read(random *rand.Rand) order {
	return order{method: http.MethodGet, path: readPath, query: workQuery(random, 1, 400), kind: protocol.KindReadOnly, wait: requestTime}
}

func write(random *rand.Rand) order {
	return order{method: http.MethodPost, path: writePath, query: workQuery(random, 1, 400), kind: protocol.KindWriting, body: "body", wait: requestTime}
}

func readOrWrite(random *rand.Rand) order {
	if random.IntN(2) == 0 {
		return read(random)
	}
	return write(random)
}

func slowDownload(random *rand.Rand) order {
	return order{method: http.MethodGet, path: downloadPath, query: workQuery(random, 1, 200) + fmt.Sprintf("&size=%d", downloadBytes), kind: protocol.KindDownload, wait: longRequestTime, slow: slowReadPause}
}

// stalledDownload draws a large answer that its client leaves unread for a while.
func stalledDownload(random *rand.Rand) order {
	download := slowDownload(random)
	download.query = workQuery(random, 1, 200) + fmt.Sprintf("&size=%d", kernelBytes)
	download.slow, download.stall = 0, stallTime
	return download
}

// downloadThenReads draws a large answer that is read slowly, with reads behind it.
func downloadThenReads(random *rand.Rand) []order {
	download := slowDownload(random)
	first, second := read(random), read(random)
	first.wait, second.wait = longRequestTime, longRequestTime
	return []order{download, first, second}
}

func upload(random *rand.Rand) order {
	return order{method: http.MethodPost, path: uploadPath, query: workQuery(random, 1, 400), kind: protocol.KindUpload, body: strings.Repeat("u", uploadBytes), wait: requestTime}
}

func uploadInParts(random *rand.Rand) order {
	o := upload(random)
	o.parts = 1 + random.IntN(20)
	return o
}

func longWork(random *rand.Rand) order {
	o := readOrWrite(random)
	o.query, o.wait = workQuery(random, 2000, 4200), longRequestTime
	return o
}

// Kinds of calls that the daemons answer themselves.
const (
	kindCall = "call"
	kindJob  = "job" // that is submitted
)

// callJSON makes a call with a body.
func callJSON(path, body string) order {
	return order{method: http.MethodPost, path: path, kind: kindCall, body: body, wait: requestTime}
}

func acquireLock(*rand.Rand) order {
	return callJSON("/-/Locks.Begin/", `{"holder":"soak","holdMs":1000}`)
}

func put(*rand.Rand) order { return callJSON("/-/Cells.Replace/g.", `{"value":"v","active":0}`) }

func number(*rand.Rand) order { return callJSON("/-/numbers/", "{}") }

// watch draws a watch of a group in which nothing is ever put, so that it is held.
func watch(random *rand.Rand) order {
	return order{method: http.MethodGet, path: "/-/watch/", query: fmt.Sprintf("dependsOn=0&waitMs=%d", 500+random.IntN(3000)), kind: kindCall, wait: longRequestTime}
}

// submitOrAsk draws a job that runs nowhere, or a question for one that is unknown.
func submitOrAsk(random *rand.Rand) order {
	if random.IntN(2) == 0 {
		return order{method: http.MethodGet, path: jobPath, kind: kindCall, wait: requestTime}
	}
	job := callJSON(jobPath, `{"jobSpec":"soak","steps":[{"taskCount":1,"cpuUnits":1000,"memMb":10,"estimateMs":100}]}`)
	job.kind = kindJob
	return job
}
