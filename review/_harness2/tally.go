package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"tealpond/internal/localcluster"
	"tealpond/internal/settings"
)

const (
	tallyServers = 6
	tallyName    = "t3"
	// tallyHome is the server that loses its disk.
	tallyHome = "node-5"
	// diskLossDown is how long the machine is down when it loses its disk, for_s of `after_ack_wipe`.
	diskLossDown = 3 * time.Second
	// tallySettle is the time after the last trouble before the tally is read: recoverS.
	tallySettle = 15 * time.Second
	// tallyAdds is the number of adds that the application sends once its server is back, one after the other
	// with tallyAddPause between them.
	tallyAdds     = 6
	tallyAddPause = 10 * time.Millisecond
	// tallyReading is how long reads are repeated at the end.
	tallyReading = 4 * time.Second
)

// playTally has an application in the zone of one server add to a tally. The server loses its disk, and
// loses it again right after it has acknowledged a few adds in its new life. At the end the tally is
// read at all servers.
func playTally(c *casePlay) (bool, error) {
	file := settings.File{
		Zones:               map[string]string{"z0": "muscat", "z1": "muscat", "z2": "muscat"},
		Discovery:           "local",
		Contracts:           []string{"base", "drain", "config", "cost", "recover", "health", "places", "apart", "sched"},
		Limits:              settings.Limits{CPUShare: 0.64, MemoryMB: 408, MaxFileDescriptors: 4100, DiskMB: 192},
		Tolerance:           settings.Tolerance{LostMachines: 2},
		Bounds:              baseBounds(),
		HeartbeatIntervalMs: 1500, AssignmentProtocol: "duty_call",
	}
	if err := c.startCluster(localcluster.Options{Role: "edge", Servers: tallyServers, Zones: 3, Settings: file}); err != nil {
		return false, err
	}
	names := c.cluster.Names()
	if err := c.await("a first add", 40*time.Second, func() bool { return c.add(tallyHome, "warm", 1) == http.StatusOK }); err != nil {
		return false, err
	}
	sum := 1
	c.pause(5 * time.Second)
	mode := os.Getenv("TALLY_MODE")
	if c.trouble {
		c.kill(tallyHome)
		if mode != "kill" {
			if err := c.wipe(tallyHome); err != nil {
				return false, err
			}
			c.printf("%s: killed, lost its disk", tallyHome)
		}
		c.pause(diskLossDown)
		if err := c.daemon(tallyHome).Restart(); err != nil {
			return false, err
		}
		c.printf("%s: started again", tallyHome)
	}
	// The application calls the nearest server, and sends each add again until it is acknowledged.
	for i := range tallyAdds {
		id := fmt.Sprintf("5c0e7a21d94b36f%d", i)
		if err := c.await("the add", 20*time.Second, func() bool { return c.add(tallyHome, id, 4) == http.StatusOK }); err != nil {
			return false, err
		}
		sum += 4
		c.pause(tallyAddPause)
	}
	delay, _ := strconv.Atoi(os.Getenv("TALLY_DELAY_MS"))
	c.pause(time.Duration(delay) * time.Millisecond)
	if c.trouble {
		c.kill(tallyHome)
		if err := c.wipe(tallyHome); err != nil {
			return false, err
		}
		c.printf("%s: killed, lost its disk right after the acknowledgement", tallyHome)
		c.pause(diskLossDown)
		if err := c.daemon(tallyHome).Restart(); err != nil {
			return false, err
		}
		c.printf("%s: started again", tallyHome)
	}
	c.pause(tallySettle)
	return c.lacksAdds(names, sum)
}

// lacksAdds reads the tally at each server, repeatedly, and reports whether a total is below the sum of
// the acknowledged adds in the last answers.
func (c *casePlay) lacksAdds(names []string, sum int) (bool, error) {
	lacking, answers := false, 0
	for until := time.Now().Add(tallyReading); time.Now().Before(until); c.pause(time.Second) {
		lacking, answers = false, 0
		for _, name := range names {
			status, raw := c.call(time.Second, http.MethodGet, "http://"+c.daemon(name).ControlAddress()+"/-/Tallies.Read/"+tallyName, nil, nil)
			var answer struct{ Total int }
			_ = json.Unmarshal(raw, &answer)
			c.printf("%s: read of %s: %d total %d, acknowledged %d", name, tallyName, status, answer.Total, sum)
			if status == http.StatusOK {
				answers++
				lacking = lacking || answer.Total < sum
			}
		}
	}
	if answers == 0 {
		return false, fmt.Errorf("%w: no answer to a read", errNotRun)
	}
	return lacking, nil
}

// add adds to the tally at one server.
func (c *casePlay) add(server, id string, amount int) int {
	status, _ := c.call(time.Second, http.MethodPost, "http://"+c.daemon(server).ControlAddress()+"/-/Tallies.Change/"+tallyName, nil,
		map[string]any{"id": id, "heldBy": amount})
	if status != 0 {
		c.printf("%s: add %s of %d to %s: %d", server, id, amount, tallyName, status)
	}
	return status
}
