package misuse

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"tealpond/internal/localcluster"
)

// Sizes of the crowds. Together their requests exceed the daemon's memory or descriptors.
const (
	clientBodies      = 600 // of maxBodyBytes each
	operatorBodies    = 60  // of operatorBodyBytes each
	operatorBodyBytes = 4_000_000
	headClients       = 600 // with heads of headBytes
	headBytes         = 15_000
	openConnections   = 700
	raisedJobBytes    = 8_000_000
	raisedUploadBytes = 1_000_000 // more than a gateway keeps for another attempt
	pipeliningClients = 120       // of pipelinedReads each
	pipelinedReads    = 9
	longReaders       = 200 // more than the connections that a gateway with fewDescriptors accepts
	unreadReads       = 80
	configBytes       = 2_000_000
	largePuts         = 1500 // of largeValueBytes each
	largeValueBytes   = 60_000
	jobsOfManySteps   = 96
	stepsOfLargeJob   = 15_000
	jobsOfManyTasks   = 60
	tasksOfLargeJob   = 20_000
	excessiveTasks    = 1 << 40 // of one job
	excessiveRuns     = 1 << 30 // of one periodic job, all of them due
)

// crowdCase is a crowd that sends bodies to one listener of a daemon.
type crowdCase struct {
	role     string
	operator bool // sent to the listener for operators
}

// crowdCases are the listeners that take bodies.
var crowdCases = []crowdCase{
	{role: edgeRole},
	{role: edgeRole, operator: true},
	{role: gatewayRole},
	{role: gatewayRole, operator: true},
}

// name returns the name of a case.
func (c crowdCase) name() string {
	if c.operator {
		return c.role + " operators"
	}
	return c.role + " clients"
}

// open opens the crowd at a daemon.
func (c crowdCase) open(t *testing.T, d *deployment, form bodyForm) {
	switch {
	case c.operator:
		// The configuration is invalid, so that the finished ones change nothing.
		body := `{"configVersion":0` + strings.Repeat(" ", operatorBodyBytes) + "}"
		openCrowd(t, d.node.ControlAddress(), operatorBodies, func(i int) client { return form.requestOf(i, "/-/Config.Replace", body) })
	case c.role == gatewayRole:
		body := strings.Repeat("b", maxBodyBytes)
		openCrowd(t, d.node.ClientAddress(), clientBodies, func(i int) client { return form.requestOf(i, uploadPath+"x?work=1", body) })
	default:
		body := jobOf(1, maxBodyBytes)
		openCrowd(t, d.node.ClientAddress(), clientBodies, func(i int) client { return form.requestOf(i, fmt.Sprintf("%s%016x", jobPath, i+1), body) })
	}
}

// TestUnfinishedBodies guards against a process that runs out of memory under many bodies of legal size
// whose clients stop short of the end and stay connected.
func TestUnfinishedBodies(t *testing.T) {
	for i, c := range crowdCases {
		for j, form := range bodyForms {
			t.Run(c.name()+" "+form.name, func(t *testing.T) {
				d := start(t, c.role, byte(1+i*len(bodyForms)+j), manyDescriptors, 0)
				c.open(t, d, form)
				d.checkAfter()
			})
		}
	}
}

// TestHeadsOfManyFields guards against a process that runs out of memory under heads of legal size with
// as many fields as possible, whose bodies are never finished.
func TestHeadsOfManyFields(t *testing.T) {
	for i, role := range []string{edgeRole, gatewayRole} {
		t.Run(role, func(t *testing.T) {
			d := start(t, role, byte(30+i), manyDescriptors, 0)
			fields := headOfManyFields(headBytes)
			path := jobPath + "00000000000000aa"
			if role == gatewayRole {
				path = uploadPath + "x"
			}
			openCrowd(t, d.node.ClientAddress(), headClients, func(int) client {
				return client{head: fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Tealpond-Time-Left: 60000\r\n%sContent-Length: 2\r\n\r\n", path, routeHost, fields), body: []byte("{}")}
			})
			d.checkAfter()
		})
	}
}

// TestOpenConnections guards against a daemon whose descriptors are all held by clients that leave a
// short body unfinished: it would accept no operator, no readiness check and no other daemon.
func TestOpenConnections(t *testing.T) {
	for i, role := range []string{edgeRole, gatewayRole} {
		for j, listener := range []struct {
			name, path string
			address    func(*localcluster.Daemon) string
		}{
			{"clients", map[string]string{edgeRole: jobPath + "00000000000000aa", gatewayRole: uploadPath + "x"}[role], (*localcluster.Daemon).ClientAddress},
			{"operators", "/-/Config.Replace", (*localcluster.Daemon).ControlAddress},
			{"readiness", "/-/readiness", (*localcluster.Daemon).ReadinessAddress},
		} {
			t.Run(role+" "+listener.name, func(t *testing.T) {
				d := start(t, role, byte(40+3*i+j), fewDescriptors, 0)
				head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Tealpond-Time-Left: 60000\r\nContent-Length: 2\r\n\r\n", listener.path, routeHost)
				openCrowd(t, listener.address(d.node), openConnections, func(int) client { return client{head: head, body: []byte("{}")} })
				d.checkAfter()
			})
		}
	}
}

// TestPipelinedRequests guards against a gateway whose descriptors are all held by connections to
// runners, since clients send many long requests behind each other.
func TestPipelinedRequests(t *testing.T) {
	d := start(t, gatewayRole, 46, fewDescriptors, 0)
	openCrowd(t, d.node.ClientAddress(), pipeliningClients, func(number int) client {
		var requests strings.Builder
		for i := range pipelinedReads {
			fmt.Fprintf(&requests, "GET %sx?work=60000 HTTP/1.1\r\nHost: %s\r\nX-Tealpond-Attempt-Id: crowd-%d-%d\r\nX-Tealpond-Time-Left: 60000\r\n\r\n", readPath, routeHost, number, i)
		}
		return client{head: requests.String()}
	})
	d.checkAfter()
}

// TestLongRequests guards against a gateway that answers no ordinary client while more clients than it
// accepts connections wait for long requests.
func TestLongRequests(t *testing.T) {
	d := start(t, gatewayRole, 47, fewDescriptors, 0)
	openCrowd(t, d.node.ClientAddress(), longReaders, func(number int) client {
		return client{head: fmt.Sprintf("GET %sx?work=60000 HTTP/1.1\r\nHost: %s\r\nX-Tealpond-Attempt-Id: crowd-%d\r\nX-Tealpond-Time-Left: 60000\r\n\r\n", readPath, routeHost, number)}
	})
	d.checkAfter()
}

// TestUnreadAnswers guards against a process that runs out of memory under operators that request a large
// configuration and never read it.
func TestUnreadAnswers(t *testing.T) {
	for i, role := range []string{edgeRole, gatewayRole} {
		t.Run(role, func(t *testing.T) {
			d := start(t, role, byte(50+i), manyDescriptors, configBytes)
			openCrowd(t, d.node.ControlAddress(), unreadReads, func(int) client {
				return client{head: "GET /-/Config.Read HTTP/1.1\r\nHost: h\r\n\r\n", readsNone: true}
			})
			d.checkAfter()
		})
	}
}

// TestJobsOfManySteps guards against a process that runs out of memory under many finished jobs of legal
// size at once whose decoded form is much larger than their bodies.
func TestJobsOfManySteps(t *testing.T) {
	d := start(t, edgeRole, 60, manyDescriptors, 0)
	body := jobOf(stepsOfLargeJob, 0)
	if len(body) > maxBodyBytes {
		t.Fatalf("the job has %d bytes, limit %d", len(body), maxBodyBytes)
	}
	openCrowd(t, d.node.ClientAddress(), jobsOfManySteps, func(i int) client {
		request := bodyForm{}.requestOf(i, fmt.Sprintf("%s%016x", jobPath, i+1), body)
		request.complete = true
		return request
	})
	d.checkAfter()
}

// TestJobsOfManyTasks guards against a process that ends since short jobs ask for more tasks than memory
// holds: one job by itself, a periodic one by its overdue runs, or many together.
func TestJobsOfManyTasks(t *testing.T) {
	for i, c := range []struct {
		name, job string
		count     int
	}{
		{"one job", fmt.Sprintf(`{"jobSpec":"misuse","steps":[{"taskCount":%d}]}`, excessiveTasks), 1},
		{"one periodic job", fmt.Sprintf(`{"jobSpec":"misuse","runTimes":%d,"firstRunMs":1,"intervalMs":1,"steps":[{"taskCount":1}]}`, excessiveRuns), 1},
		{"many jobs", fmt.Sprintf(`{"jobSpec":"misuse","steps":[{"taskCount":%d}]}`, tasksOfLargeJob), jobsOfManyTasks},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := start(t, edgeRole, byte(61+i), manyDescriptors, 0)
			openCrowd(t, d.node.ClientAddress(), c.count, func(number int) client {
				request := bodyForm{}.requestOf(number, fmt.Sprintf("%s%016x", jobPath, number+1), c.job)
				request.complete = true
				return request
			})
			d.checkAfter()
		})
	}
}

// TestLargeValues guards against a process that runs out of memory under many finished puts of values of
// legal size, taken or refused.
func TestLargeValues(t *testing.T) {
	for i, c := range []struct {
		name     string
		expected int // revision that the puts expect
	}{{"taken", 0}, {"refused", 7}} {
		t.Run(c.name, func(t *testing.T) {
			d := start(t, edgeRole, byte(80+i), manyDescriptors, 0)
			openCrowd(t, d.node.ControlAddress(), largePuts, func(number int) client {
				body := fmt.Sprintf(`{"value":"%d%s","active":%d}`, number, strings.Repeat("v", largeValueBytes), c.expected)
				request := bodyForm{}.requestOf(number, fmt.Sprintf("/-/Cells.Replace/g.%d", number), body)
				request.complete = true
				return request
			})
			d.await("a small put", func() bool {
				status, _ := call(http.MethodPost, d.node.ControlAddress(), "/-/Cells.Replace/small.key", `{"value":"small","active":0}`, http.Header{})
				return status == http.StatusOK
			})
			d.checkAfter()
		})
	}
}

// TestLargestRequests checks that, in calm, one request of the largest legal size is served: a client's
// body and an operator's configuration.
func TestLargestRequests(t *testing.T) {
	d := start(t, gatewayRole, 70, manyDescriptors, operatorBodyBytes)
	d.await("an upload of the largest size", func() bool { return d.servesUpload(requestTimeout, "largest", maxBodyBytes) })
	d.checkAfter()
	d = start(t, edgeRole, 71, manyDescriptors, operatorBodyBytes)
	d.await("a job of the largest size", func() bool {
		status, _ := call(http.MethodPost, d.node.ClientAddress(), jobPath+"00000000000000ab", jobOf(1, maxBodyBytes), http.Header{})
		return status == http.StatusOK
	})
	d.checkAfter()
}

// TestLargestRequestsAfterRaise checks the same after a configuration raised the limit of bodies.
func TestLargestRequestsAfterRaise(t *testing.T) {
	d := start(t, gatewayRole, 72, manyDescriptors, 0)
	d.await("a higher limit", func() bool { return d.raiseBodyLimit(raisedUploadBytes) })
	d.await("an upload of the largest size", func() bool { return d.servesUpload(raisedUploadTimeout, "largest", raisedUploadBytes) })
	d.checkAfter()
	d = start(t, edgeRole, 73, manyDescriptors, 0)
	d.await("a higher limit", func() bool { return d.raiseBodyLimit(raisedJobBytes) })
	d.await("a job of the largest size", func() bool {
		status, _ := call(http.MethodPost, d.node.ClientAddress(), jobPath+"00000000000000ab", jobOf(1, raisedJobBytes), http.Header{})
		return status == http.StatusOK
	})
	d.checkAfter()
}
