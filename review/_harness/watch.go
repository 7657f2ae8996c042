package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["watch"] = playWatch }

const (
	watchGroup = "g1."
	// history is historyS of the deployments with locks.
	history = 20 * time.Second
)

// watchAnswer is the answer to a watch.
type watchAnswer struct {
	Events []struct {
		Name     string `json:"name"`
		Value    string `json:"value"`
		Revision int64  `json:"revision"`
	} `json:"events"`
	Revision int64 `json:"revision"`
}

// watch calls a watch once, at a daemon without a disk.
func (p *play) watch(after int64, waitMs int) (int, watchAnswer, error) {
	var answer watchAnswer
	path := fmt.Sprintf("/-/watch/%s?dependsOn=%d&waitMs=%d", watchGroup, after, waitMs)
	status, text, err := p.control(p.proxies[0], http.MethodGet, path, nil, nil, time.Duration(waitMs)*time.Millisecond+time.Second)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(text, &answer)
	}
	p.printf("watch dependsOn=%d: status %d, %d events, revision %d, %v", after, status, len(answer.Events), answer.Revision, err)
	return status, answer, err
}

// playWatch plays a watcher that sleeps between two calls. Other applications put keys of its
// group meanwhile. Without trouble the watcher calls again at once.
func playWatch(p *play, program, directory string) (bool, error) {
	s := locksSettings()
	if err := p.begin(program, directory, layout{servers: 3, proxies: 1, zones: 3, settings: s}); err != nil {
		return false, err
	}
	if err := p.configure(firstConfiguration); err != nil {
		return false, err
	}
	// The group exists before the watch begins.
	put := func(i int) bool {
		body := map[string]any{"value": fmt.Sprintf("%016x", i)}
		status, text, err := p.control(p.servers[i%3], http.MethodPost, fmt.Sprintf("/-/Cells.Replace/%sk%d", watchGroup, i), body, nil, time.Second)
		p.note("put %d: status %d %s %v", i, status, text, err)
		return err == nil && status == http.StatusOK
	}
	if err := p.await("first put", 10*time.Second, func() bool { return put(0) }); err != nil {
		return false, err
	}
	_, first, err := p.watch(0, 0)
	if err != nil || first.Revision == 0 {
		return false, fmt.Errorf("%w: no first revision", errNotRun)
	}
	givenAt := time.Now()
	const puts, perSecond = 600, 50
	go func() {
		ticker := time.NewTicker(time.Second / perSecond)
		defer ticker.Stop()
		for i := 1; i <= puts; i++ {
			<-ticker.C
			put(i)
		}
		slow := time.NewTicker(time.Second)
		defer slow.Stop()
		for i := puts + 1; p.ctx.Err() == nil; i++ {
			<-slow.C
			put(i)
		}
	}()
	pauses := []time.Duration{19 * time.Second, 19 * time.Second}
	after := first.Revision
	for begin := time.Now(); time.Since(begin) < 45*time.Second; {
		if p.trouble && len(pauses) > 0 {
			p.printf("the watcher sleeps %v, since it got revision %d", pauses[0], after)
			time.Sleep(pauses[0])
			pauses = pauses[1:]
		}
		age := time.Since(givenAt)
		status, answer, err := p.watch(after, 1000)
		switch {
		case err != nil:
			continue
		case status == http.StatusGone:
			p.printf("410 for revision %d, which the watcher got %.1f s ago; historyS is %v", after, age.Seconds(), history)
			return age < history, nil
		case status == http.StatusOK:
			after, givenAt = answer.Revision, time.Now()
		}
	}
	return false, nil
}
