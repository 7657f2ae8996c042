package misuse

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// To play more seeds by hand:
//
//	go test ./internal/misuse -run TestCrowdSoak -timeout 60m -v -args -seeds 50 -first 100
var (
	seedCount = flag.Int("seeds", 3, "number of seeds that TestCrowdSoak plays")
	firstSeed = flag.Uint64("first", 1, "the first seed")
)

// Bounds of what a seed draws.
const (
	minCrowds, maxCrowds       = 2, 4
	minClients, maxClients     = 50, 400
	minOperators, maxOperators = 5, 40
	maxPieceBytes              = 64 << 10
	maxChunkBytes              = 32 << 10
	maxPiecePause              = 20 * time.Millisecond
)

// drawnCrowd is one crowd of a seed.
type drawnCrowd struct {
	count      int
	operator   bool
	form       bodyForm
	bodyBytes  int
	headFields int // bytes of additional fields in the head
	// completeShare is the share of the clients that finish their body.
	completeShare float64
}

// drawCrowd draws a crowd.
func drawCrowd(random *rand.Rand) drawnCrowd {
	c := drawnCrowd{operator: random.IntN(4) == 0, bodyBytes: 1 + random.IntN(maxBodyBytes), completeShare: random.Float64() / 4}
	c.count = minClients + random.IntN(maxClients-minClients)
	if c.operator {
		c.count, c.bodyBytes = minOperators+random.IntN(maxOperators-minOperators), 1+random.IntN(operatorBodyBytes)
	}
	if random.IntN(2) == 0 {
		c.form.chunkBytes = 1 << random.IntN(15)
		c.form.chunkBytes = min(max(c.form.chunkBytes, c.bodyBytes/10_000), maxChunkBytes)
	}
	if random.IntN(2) == 0 {
		c.form.pieceBytes = maxPieceBytes >> random.IntN(4)
		c.form.pause = time.Duration(random.Int64N(int64(maxPiecePause)))
	}
	if random.IntN(4) == 0 {
		c.headFields = random.IntN(headBytes)
	}
	return c
}

// String describes the crowd.
func (c drawnCrowd) String() string {
	return fmt.Sprintf("%d clients, operators %v, bodies of %d bytes, chunks %d, pieces %d every %v, %d bytes of fields, %.2f complete",
		c.count, c.operator, c.bodyBytes, c.form.chunkBytes, c.form.pieceBytes, c.form.pause, c.headFields, c.completeShare)
}

// open opens the crowd at a daemon. Its clients are numbered from first.
func (c drawnCrowd) open(t *testing.T, d *deployment, first int) {
	address, fields := d.node.ClientAddress(), headOfManyFields(c.headFields)
	if c.operator {
		address = d.node.ControlAddress()
	}
	openCrowd(t, address, c.count, func(i int) client {
		path, body := fmt.Sprintf("%s%016x", jobPath, first+i), jobOf(1, c.bodyBytes)
		switch {
		case c.operator:
			path, body = "/-/Config.Replace", `{"configVersion":0`+strings.Repeat(" ", c.bodyBytes)+"}"
		case d.node.Role == gatewayRole:
			path, body = uploadPath+"x?work=1", strings.Repeat("b", c.bodyBytes)
		}
		request := c.form.requestOf(first+i, path, body)
		request.complete = float64(i) < c.completeShare*float64(c.count)
		request.head = strings.Replace(request.head, "Host:", fields+"Host:", 1)
		return request
	})
}

// TestCrowdSoak plays several crowds at once for each seed, and then ends the process in order while the
// crowds stay connected.
func TestCrowdSoak(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playSeed(t, seed) })
	}
}

// playSeed plays the crowds of a seed.
func playSeed(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 72))
	role := []string{edgeRole, gatewayRole}[random.IntN(2)]
	descriptors := []int{fewDescriptors, manyDescriptors}[random.IntN(2)]
	d := start(t, role, byte(100+seed%100), descriptors, 0)
	t.Logf("%s with %d descriptors", role, descriptors)
	var crowds sync.WaitGroup
	for number := range minCrowds + random.IntN(maxCrowds-minCrowds+1) {
		c := drawCrowd(random)
		t.Log(c)
		crowds.Go(func() { c.open(t, d, 1+number*maxClients) })
	}
	crowds.Wait()
	d.checkAfter()
	d.endInOrder()
}

// endInOrder ends the process by SIGTERM and checks that it exits without an error.
func (d *deployment) endInOrder() {
	d.t.Helper()
	if err := d.cluster.Signal(d.node.Name, syscall.SIGTERM); err != nil {
		d.t.Fatal(err)
	}
	d.await("the end of the process", func() bool { return len(d.node.Exits()) > 0 })
	if state := d.node.Exits()[0].State; state != "exit status 0" {
		d.t.Errorf("the process ended with %s\n%s", state, d.lastLines())
	}
}
