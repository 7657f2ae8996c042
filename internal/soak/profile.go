package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"tealpond/internal/protocol"
)

// Routes of the configuration, and the sizes and pauses of bodies that clients send and read there.
const (
	routeHost    = "h"
	readPath     = "/read/"
	writePath    = "/write/"
	uploadPath   = "/upload/"
	downloadPath = "/download/"
	jobPath      = "/p/"
	// uploadBytes is the size of an upload, in bytes.
	uploadBytes = 60_000
	// maxChunkPause is the longest pause between two chunks of a body.
	maxChunkPause = 60 * time.Millisecond
	// downloadBytes is the size of a large answer, in bytes: more than the kernels buffer.
	downloadBytes = 700_000
	// slowReadPause is the pause of slow readers before each read. A large answer takes them about
	// two seconds.
	slowReadPause = 10 * time.Millisecond
	// stalledDownloadBytes is the size of an answer that exceeds the socket buffers of a connection,
	// and stallTime is how long a client leaves such an answer unread. Together with the time to read
	// the rest it is well below the grace period of a daemon.
	stalledDownloadBytes = 6 << 20
	stallTime            = 2500 * time.Millisecond
)

// profile describes how a client uses its connections.
type profile struct {
	name        string
	reconnects  bool // a new connection for each request
	smallBuffer bool // with a small receive buffer
	// control selects the port for operators and applications instead of the port for clients.
	control bool
	pause   time.Duration
	// next draws the next requests, which are pipelined if there are several.
	next func(*rand.Rand) []requestSpec
}

// weightedProfile is a profile and the number of clients in 20 that have it.
type weightedProfile struct {
	weight  int
	profile profile
}

// profilesByRole holds the profiles of the clients by the role of the daemons.
var profilesByRole = map[string][]weightedProfile{gatewayRole: gatewayProfiles, edgeRole: edgeProfiles}

var gatewayProfiles = []weightedProfile{
	{4, profile{name: "keep-alive reads", pause: 20 * time.Millisecond, next: single(read)}},
	{3, profile{name: "keep-alive writes", pause: 20 * time.Millisecond, next: single(write)}},
	{4, profile{name: "pipelined reads", pause: 20 * time.Millisecond, next: pipelined(read)}},
	{2, profile{name: "pipelined reads and writes", pause: 20 * time.Millisecond, next: pipelined(readOrWrite)}},
	{2, profile{name: "new connections", reconnects: true, pause: 20 * time.Millisecond, next: single(readOrWrite)}},
	{1, profile{name: "slow reader", smallBuffer: true, pause: 20 * time.Millisecond, next: single(slowDownload)}},
	{1, profile{name: "slow reader with pipelined reads", smallBuffer: true, pause: 20 * time.Millisecond, next: downloadThenReads}},
	{1, profile{name: "stalling reader", smallBuffer: true, pause: 20 * time.Millisecond, next: single(stalledDownload)}},
	{1, profile{name: "chunked uploads", pause: 20 * time.Millisecond, next: single(chunkedUpload)}},
	{1, profile{name: "uploads", pause: 20 * time.Millisecond, next: single(upload)}},
	{1, profile{name: "long work", pause: 20 * time.Millisecond, next: single(longWork)}},
}

var edgeProfiles = []weightedProfile{
	{4, profile{name: "locks", control: true, pause: 20 * time.Millisecond, next: single(acquireLock)}},
	{2, profile{name: "locks, new connections", control: true, reconnects: true, pause: 20 * time.Millisecond, next: single(acquireLock)}},
	{2, profile{name: "pipelined locks", control: true, pause: 20 * time.Millisecond, next: pipelined(acquireLock)}},
	{3, profile{name: "puts", control: true, pause: 20 * time.Millisecond, next: single(put)}},
	{2, profile{name: "numbers", control: true, pause: 20 * time.Millisecond, next: single(number)}},
	{4, profile{name: "watches", control: true, pause: 20 * time.Millisecond, next: single(watch)}},
	{3, profile{name: "jobs", pause: 20 * time.Millisecond, next: single(submitOrQueryJob)}},
}

// single returns a function that draws one request.
func single(draw func(*rand.Rand) requestSpec) func(*rand.Rand) []requestSpec {
	return func(random *rand.Rand) []requestSpec { return []requestSpec{draw(random)} }
}

// pipelined returns a function that draws two to six requests.
func pipelined(draw func(*rand.Rand) requestSpec) func(*rand.Rand) []requestSpec {
	return func(random *rand.Rand) []requestSpec {
		var specs []requestSpec
		for range 2 + random.IntN(5) {
			specs = append(specs, draw(random))
		}
		return specs
	}
}

// workQuery draws the query that sets the processing time of a request to at least minMs and less than
// maxMs.
func workQuery(random *rand.Rand, minMs, maxMs int) string {
	return fmt.Sprintf("work=%d", minMs+random.IntN(maxMs-minMs))
}

func read(random *rand.Rand) requestSpec {
	return requestSpec{method: http.MethodGet, path: readPath, query: workQuery(random, 1, 400), kind: protocol.KindReadOnly, timeout: requestTimeout}
}

func write(random *rand.Rand) requestSpec {
	return requestSpec{method: http.MethodPost, path: writePath, query: workQuery(random, 1, 400), kind: protocol.KindWriting, body: "body", timeout: requestTimeout}
}

func readOrWrite(random *rand.Rand) requestSpec {
	if random.IntN(2) == 0 {
		return read(random)
	}
	return write(random)
}

func slowDownload(random *rand.Rand) requestSpec {
	return requestSpec{method: http.MethodGet, path: downloadPath, query: workQuery(random, 1, 200) + fmt.Sprintf("&size=%d", downloadBytes), kind: protocol.KindDownload, timeout: longRequestTimeout, readPause: slowReadPause}
}

// stalledDownload draws a request for a large answer that its client leaves unread for stallTime.
func stalledDownload(random *rand.Rand) requestSpec {
	download := slowDownload(random)
	download.query = workQuery(random, 1, 200) + fmt.Sprintf("&size=%d", stalledDownloadBytes)
	download.readPause, download.stall = 0, stallTime
	return download
}

// downloadThenReads draws a request for a large answer that is read slowly, with reads pipelined behind
// it.
func downloadThenReads(random *rand.Rand) []requestSpec {
	download := slowDownload(random)
	first, second := read(random), read(random)
	first.timeout, second.timeout = longRequestTimeout, longRequestTimeout
	return []requestSpec{download, first, second}
}

func upload(random *rand.Rand) requestSpec {
	return requestSpec{method: http.MethodPost, path: uploadPath, query: workQuery(random, 1, 400), kind: protocol.KindUpload, body: strings.Repeat("u", uploadBytes), timeout: requestTimeout}
}

func chunkedUpload(random *rand.Rand) requestSpec {
	o := upload(random)
	o.chunks = 1 + random.IntN(20)
	return o
}

func longWork(random *rand.Rand) requestSpec {
	o := readOrWrite(random)
	o.query, o.timeout = workQuery(random, 2000, 4200), longRequestTimeout
	return o
}

// Kinds of requests that the daemons answer themselves.
const (
	kindCall = "call"
	kindJob  = "job" // submission of a job
)

// callJSON returns a POST request with a JSON body.
func callJSON(path, body string) requestSpec {
	return requestSpec{method: http.MethodPost, path: path, kind: kindCall, body: body, timeout: requestTimeout}
}

func acquireLock(*rand.Rand) requestSpec {
	return callJSON("/-/Locks.Begin/", `{"holder":"soak","holdMs":1000}`)
}

func put(*rand.Rand) requestSpec {
	return callJSON("/-/Cells.Replace/g.", `{"value":"v","active":0}`)
}

func number(*rand.Rand) requestSpec { return callJSON("/-/numbers/", "{}") }

// watch draws a watch of a group of keys that are never put, so that the daemon holds it.
func watch(random *rand.Rand) requestSpec {
	return requestSpec{method: http.MethodGet, path: "/-/watch/", query: fmt.Sprintf("dependsOn=0&waitMs=%d", 500+random.IntN(3000)), kind: kindCall, timeout: longRequestTimeout}
}

// submitOrQueryJob draws the submission of a job that no worker runs, or a query for an unknown job.
func submitOrQueryJob(random *rand.Rand) requestSpec {
	if random.IntN(2) == 0 {
		return requestSpec{method: http.MethodGet, path: jobPath, kind: kindCall, timeout: requestTimeout}
	}
	job := callJSON(jobPath, `{"jobSpec":"soak","steps":[{"taskCount":1,"cpuUnits":1000,"memMb":10,"estimateMs":100}]}`)
	job.kind = kindJob
	return job
}
