package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"tealpond/internal/localcluster"
)

// The probes below are no cases: review/REPORT.md tells why. Each is played by its name.
func init() {
	cases["founder"], cases["hup"], cases["refusals"] = playFounder, playHangup, playRefusals
}

// playFounder plays a server that loses its disk between the moment at which it is bound to the
// first cluster and the start of that cluster. It is broken if the first configuration isn't taken
// within a minute.
func playFounder(p *play, program, directory string) (bool, error) {
	var err error
	p.cluster, err = localcluster.Start(localcluster.Options{
		Program: program, Directory: directory, Subnet: localcluster.Subnet{A: 77, B: byte(1 + os.Getpid()%250)},
		Role: "edge", Servers: 3, Proxies: 1, AgentRole: "side", Zones: 3, Settings: smallSettings(),
	})
	if err != nil {
		return false, fmt.Errorf("%w: %w", errNotRun, err)
	}
	p.servers = p.cluster.Names()[:3]
	if p.trouble {
		victim, err := p.cluster.Daemon(p.servers[2])
		if err != nil {
			return false, err
		}
		bound := false
		for !bound && p.ctx.Err() == nil && time.Since(p.start) < 20*time.Second {
			for _, line := range p.cluster.Log() {
				bound = bound || line.Daemon == victim.Name && strings.Contains(line.Text, "bootstrap.bound")
			}
			time.Sleep(time.Millisecond)
		}
		_ = p.cluster.Signal(victim.Name, syscall.SIGKILL)
		<-victim.Exited()
		p.printf("%s is killed and loses its disk; it was bound: %v", victim.Name, bound)
		_ = os.RemoveAll(filepath.Join(directory, victim.Name, "data"))
		time.Sleep(time.Second)
		if err := victim.Restart(); err != nil {
			return false, fmt.Errorf("%w: %w", errNotRun, err)
		}
	}
	for time.Since(p.start) < time.Minute {
		status, text, err := p.control(p.servers[0], http.MethodPost, "/-/Config.Replace", firstConfiguration, map[string]string{"X-Tealpond-Based-On": "0"}, 2*time.Second)
		p.note("Config.Replace: status %d %s %v", status, text, err)
		if err == nil && status == http.StatusOK {
			p.printf("the first configuration is taken")
			return false, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return true, nil
}

// playHangup measures how long after its start a SIGHUP ends a process.
func playHangup(p *play, program, directory string) (bool, error) {
	const tries = 20
	for _, delay := range []int{0, 2, 5, 8, 12, 16, 20, 30, 40} {
		ended := 0
		for try := range tries {
			cluster, err := localcluster.Start(localcluster.Options{Program: program, Directory: directory,
				Subnet: localcluster.Subnet{A: 78, B: byte(try + 1)}, Role: "edge", Servers: 1, AgentRole: "side", Settings: smallSettings()})
			if err != nil {
				return false, fmt.Errorf("%w: %w", errNotRun, err)
			}
			name := cluster.Names()[0]
			daemon, _ := cluster.Daemon(name)
			time.Sleep(time.Duration(delay)*time.Millisecond - time.Since(daemon.StartedAt()))
			_ = cluster.Signal(name, syscall.SIGHUP)
			time.Sleep(60 * time.Millisecond)
			for _, exit := range daemon.Exits() {
				if exit.State == "signal: hangup" {
					ended++
				}
			}
			cluster.Close()
		}
		p.printf("SIGHUP %d ms after the start ends %d of %d processes", delay, ended, tries)
	}
	return false, nil
}

// playRefusals plays one long job of the least urgent queue, and then jobs of the most urgent one.
func playRefusals(p *play, program, directory string) (bool, error) {
	if err := p.begin(program, directory, layout{servers: 3, proxies: 1, agents: 4, zones: 3, settings: smallSettings()}); err != nil {
		return false, err
	}
	route := `{"name":"%s","hostName":"` + host + `","pathPrefix":"%s","kind":"writing","timeoutMs":3000,"targetMs":1000,"priority":%d,` +
		`"targetService":"` + service + `","maxTries":3,"stretch":2}`
	text := `{"configVersion":1,"routeList":[` + fmt.Sprintf(route, "urgent", prefix, 0) + `,` + fmt.Sprintf(route, "night", "/night/", 2) +
		`],"serviceList":[{"name":"` + service + `","guards":true}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144}}`
	if err := p.configure(text); err != nil {
		return false, err
	}
	const night = `{"jobSpec":"ms=3600000 cpu=1000","steps":[{"taskCount":100,"cpuUnits":1000,"memMb":64,"estimateMs":3600000}]}`
	status, answer, err := p.client(p.proxies[0], http.MethodPost, "/night/00000000000000e0", night, 3*time.Second)
	p.printf("job of the night queue: status %d %s %v", status, answer, err)
	for i := range 4 {
		time.Sleep(2 * time.Second)
		const urgent = `{"jobSpec":"ms=200 cpu=1000","steps":[{"taskCount":1,"cpuUnits":1000,"memMb":64,"estimateMs":200}]}`
		status, answer, err = p.client(p.proxies[0], http.MethodPost, fmt.Sprintf("%s00000000000000f%d", prefix, i), urgent, 3*time.Second)
		p.printf("job of the urgent queue: status %d %s %v", status, answer, err)
	}
	return false, nil
}
