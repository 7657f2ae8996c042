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
	// uploadBytes is the size of an upload, in bytes.
	uploadBytes = 60_000
	// partPause is the longest pause between two parts of a body.
	partPause = 60 * time.Millisecond
	// downloadBytes is the size of a large answer, in bytes: beyond what kernels hold.
	downloadBytes = 700_000
	// slowReadPause is the pause of slow readers after each part: such an answer takes them
	// about two seconds.
	slowReadPause = 10 * time.Millisecond
)

// habit is how a client uses its connections.
type habit struct {
	name  string
	fresh bool // a new connection for each request
	slow  bool // the kernel holds little for it
	pause time.Duration
	// next draws the requests that are sent behind each other next.
	next func(*rand.Rand) []order
}

// habits are those of the clients, and how many clients in 20 have them.
var habits = []struct {
	share int
	habit habit
}{
	{4, habit{name: "kept reads", pause: 20 * time.Millisecond, next: one(read)}},
	{3, habit{name: "kept writes", pause: 20 * time.Millisecond, next: one(write)}},
	{4, habit{name: "behind each other", pause: 20 * time.Millisecond, next: several(read)}},
	{2, habit{name: "reads and writes behind each other", pause: 20 * time.Millisecond, next: several(readOrWrite)}},
	{2, habit{name: "fresh", fresh: true, pause: 20 * time.Millisecond, next: one(readOrWrite)}},
	{1, habit{name: "slow reader", slow: true, pause: 20 * time.Millisecond, next: one(slowDownload)}},
	{1, habit{name: "slow reader with more behind", slow: true, pause: 20 * time.Millisecond, next: downloadThenReads}},
	{1, habit{name: "bodies in parts", pause: 20 * time.Millisecond, next: one(uploadInParts)}},
	{1, habit{name: "uploads", pause: 20 * time.Millisecond, next: one(upload)}},
	{1, habit{name: "long work", pause: 20 * time.Millisecond, next: one(longWork)}},
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
