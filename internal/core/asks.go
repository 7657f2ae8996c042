package core

import (
	"strconv"
	"time"

	"tealpond/internal/desire"
	"tealpond/internal/link"
	"tealpond/internal/member"
	"tealpond/internal/raft"
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

type reply = func(member.Answer)

// free are the asks that any core daemon answers.
var free = map[string]func(*Core, []byte, reply){
	member.AskLead:  (*Core).askLead,
	member.AskFound: (*Core).askFound,
	member.AskTrace: (*Core).askTrace,
	member.AskFleet: (*Core).askFleet,
	askState:        func(c *Core, _ []byte, r reply) { r(c.state()) },
}

// led are those that only a leader under its lease answers.
var led map[string]func(*Core, []byte, *link.Stream, reply)

func init() {
	// Why here: some of them look others up.
	led = map[string]func(*Core, []byte, *link.Stream, reply){
		member.AskJoin:    (*Core).askJoin,
		member.AskClaim:   (*Core).askClaim,
		member.AskHandIn:  (*Core).askHandIn,
		member.AskStatus:  (*Core).askStatus,
		member.AskCancel:  (*Core).askCancel,
		member.AskPut:     (*Core).askPut,
		member.AskRead:    (*Core).askRead,
		member.AskLimits:  (*Core).askLimits,
		member.AskTakeUp:  (*Core).askTakeUp,
		member.AskRenew:   (*Core).askRenew,
		member.AskEnds:    (*Core).askEnds,
		member.AskElig:    (*Core).askElig,
		member.AskMembers: (*Core).askMembers,
		member.AskPeer:    (*Core).askPeer,
		member.AskGrants:  (*Core).askGrants,
		member.AskMany:    (*Core).askMany,
		member.AskYield:   (*Core).askYield,
	}
}

func (c *Core) onAsk(a member.Ask, s *link.Stream, r reply) {
	if f := free[a.Kind]; f != nil {
		f(c, a.Body, r)
		return
	}
	f := led[a.Kind]
	if f == nil {
		r(member.Answer{Code: 400, Text: "unknown ask"})
		return
	}
	if c.node == nil || !c.node.Ready() || !c.led || !c.node.Lease(time.Now()) {
		if c.node != nil && !c.led && c.sumUp(a, s, r) {
			return
		}
		r(member.Answer{Code: member.NotLead, Lead: c.leadAddr()})
		return
	}
	f(c, a.Body, s, r)
}

// stamped adds to each answer how far this daemon is.
func (c *Core) stamped(r reply) reply {
	return func(a member.Answer) {
		a.Desired = max(a.Desired, c.st.Desired.Version)
		if a.At == 0 && c.node != nil {
			a.At = c.st.Applied
		}
		r(a)
	}
}

func (c *Core) leadAddr() string {
	if c.node == nil || c.node.Lead() == "" || c.node.Lead() == c.me.Disk {
		return ""
	}
	return c.addrOf(c.node.Lead())
}

func (c *Core) askLead(_ []byte, r reply) {
	v := member.View{}
	if c.node != nil {
		v.Term = c.node.Term()
		v.Leads = c.led && c.node.Ready() && c.node.Lease(time.Now())
		v.Lead = c.leadAddr()
		v.Sums = v.Lead != "" && c.sums(time.Now())
		for _, m := range c.node.Voters() {
			v.Known = append(v.Known, m.Addr)
		}
	}
	r(member.Answer{Code: 200, Body: link.Pack(v)})
}

func (c *Core) askFound(raw []byte, r reply) {
	var f member.Found
	if link.Unpack(raw, &f) != nil {
		r(member.Answer{Code: 400})
		return
	}
	r(member.Answer{Code: 200, Body: link.Pack(c.found.Take(f, time.Now()))})
}

func (c *Core) askJoin(raw []byte, _ *link.Stream, r reply) {
	var v raft.Voter
	if link.Unpack(raw, &v) != nil || v.Disk == "" {
		r(member.Answer{Code: 400})
		return
	}
	if !c.node.Voter(v.Disk) && c.addrs[v.Disk] == "" {
		_ = c.log.Log("level", "info", "event", "core.candidate", "node", v.Node, "disk", v.Disk, "addr", v.Addr)
	}
	c.addrs[v.Disk] = v.Addr
	c.node.Learn(v)
	c.cands()[v.Disk] = v
	r(member.Answer{Code: 200})
}

func (c *Core) askClaim(raw []byte, _ *link.Stream, r reply) {
	var m member.Claim
	if link.Unpack(raw, &m) != nil {
		r(member.Answer{Code: 400})
		return
	}
	c.claims[m.Node+"/"+m.Role] = claimed{m, time.Now()}
	r(member.Answer{Code: 200})
}

// outcome turns a command's outcome into an answer.
func outcome(r reply) func(store.Outcome, bool) {
	return func(o store.Outcome, ok bool) {
		if !ok {
			r(member.Answer{Code: member.Unclear})
			return
		}
		r(member.Answer{Code: o.Code, Text: o.Text, N: o.N})
	}
}

func hexID(s string) bool {
	if len(s) != 16 {
		return false
	}
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return true
}

// lane finds the lane of a call; otherwise it answers.
func (c *Core) lane(raw []byte, r reply) (member.Call, *desire.Lane, string, bool) {
	var m member.Call
	if link.Unpack(raw, &m) != nil {
		r(member.Answer{Code: 400})
		return m, nil, "", false
	}
	if c.st.Desired.Version == 0 {
		r(notConfigured)
		return m, nil, "", false
	}
	l, rest := c.st.Table().Find(m.Host, m.Path)
	if l == nil {
		r(member.Answer{Code: 404, Text: "no such inbox"})
		return m, nil, "", false
	}
	return m, l, rest, true
}

func (c *Core) askHandIn(raw []byte, _ *link.Stream, r reply) {
	m, l, id, ok := c.lane(raw, r)
	if !ok {
		return
	}
	if !hexID(id) {
		r(member.Answer{Code: 400, Text: "the ID wants 16 hex digits"})
		return
	}
	if c.st.Jobs[id] == nil && c.crowded(l) {
		r(member.Answer{Code: 429, Text: "more work than can be finished", RetryMs: 2000})
		return
	}
	c.trace.Add(id, "ordered", int64(c.node.LastIndex()+1), l.Name)
	c.add("handin", &store.HandIn{Host: m.Host, Path: m.Path, ID: id, Job: m.Job, Bucket: c.bucket()}, c.traced(id, "settled", outcome(r)))
}

// crowded tells whether more waits than the room can finish in good time.
func (c *Core) crowded(l *desire.Lane) bool {
	room, _ := c.st.Bookable(l.TargetService)
	if room.CPU == 0 {
		return false
	}
	if now := time.Now(); now.Sub(c.workAt) >= tune.Beat {
		// Why not each time: it walks all open jobs.
		c.waiting, c.workAt = c.st.WaitingWork(), now
	}
	return float64(c.waiting)/float64(room.CPU) > tune.Inbox*1000
}

func (c *Core) askStatus(raw []byte, _ *link.Stream, r reply) {
	_, l, id, ok := c.lane(raw, r)
	if !ok {
		return
	}
	if id == "" {
		r(member.Answer{Code: 200, Text: "count", N: int64(c.st.Waiting(l.Name))})
		return
	}
	if w, ok := c.st.Status(id); ok {
		if c.st.Jobs[id].LastRuns() {
			// Why a moment: its last ends may be listed by now and on their
			// way through the log; an older answer costs the sender a round.
			c.lingers[id] = append(c.lingers[id], linger{r, time.Now().Add(tune.Linger)})
			return
		}
		r(member.Answer{Code: 200, Text: w})
		return
	}
	if !hexID(id) {
		r(member.Answer{Code: 400, Text: "the ID wants 16 hex digits"})
		return
	}
	r(member.Answer{Code: 410, Text: "no such job"})
}

func (c *Core) askCancel(raw []byte, _ *link.Stream, r reply) {
	_, _, id, ok := c.lane(raw, r)
	if !ok {
		return
	}
	if !hexID(id) {
		r(member.Answer{Code: 400, Text: "the ID wants 16 hex digits"})
		return
	}
	c.trace.Add(id, "cancel ordered", int64(c.node.LastIndex()+1), "")
	c.add("cancel", &store.Cancel{ID: id}, c.traced(id, "cancel settled", c.askedOff(id, r)))
}

func (c *Core) askPut(raw []byte, _ *link.Stream, r reply) {
	var p member.Put
	if link.Unpack(raw, &p) != nil {
		r(member.Answer{Code: 400})
		return
	}
	// Why only peeked at: the text was checked where it came in, and is read
	// whole when the command is applied.
	id := "desired/" + strconv.FormatInt(desire.VersionOf(p.Raw), 10)
	c.trace.Add(id, "ordered", int64(c.node.LastIndex()+1), "")
	c.add("replace", &store.Replace{Base: p.Base, Raw: p.Raw}, c.traced(id, "settled", outcome(r)))
}

// askRead gives the newest configuration, whole. A change that this leader has
// confirmed is applied here, since it is confirmed by being applied; one that an
// earlier leader confirmed lies before the first entry of this term, which is
// applied before a leader is ready; and no later leader has confirmed any while
// this one holds its lease. A process that freezes between the look at its lease
// and the answer gives what was newest within the call, since that began before.
func (c *Core) askRead(_ []byte, _ *link.Stream, r reply) {
	if c.st.Desired.Version == 0 {
		// Why not 404: an operator's call would end by it, and the first
		// configuration may be on its way.
		r(notConfigured)
		return
	}
	r(member.Answer{Code: 200, N: c.st.Desired.Version, Body: c.st.Desired.Raw})
}

func (c *Core) askLimits(_ []byte, _ *link.Stream, r reply) {
	if c.st.Desired.Version == 0 {
		r(notConfigured)
		return
	}
	r(member.Answer{Code: 200, N: c.st.Desired.Version, Body: link.Pack(c.st.Desired.Limits)})
}

// notConfigured answers what needs a configuration before there is one.
var notConfigured = member.Answer{Code: 503, Text: "not configured yet", RetryMs: 1000}

func (c *Core) askTakeUp(raw []byte, s *link.Stream, r reply) {
	var t store.TakeUp
	if link.Unpack(raw, &t) != nil {
		r(member.Answer{Code: 400})
		return
	}
	c.add("takeup", &t, func(o store.Outcome, ok bool) {
		if ok && o.Code == 200 {
			a := c.att[t.ID]
			if a == nil || a.lapsing {
				// Why now: nothing was granted to it that could still run,
				// and its silence is counted from here.
				a = &attached{granted: time.Now(), heard: time.Now()}
				c.att[t.ID] = a
			}
			_ = c.log.Log("level", "info", "event", "worker.takeup", "worker", t.ID, "node", t.Node, "fence", o.N)
		}
		outcome(r)(o, ok)
	})
}

func (c *Core) askElig(raw []byte, _ *link.Stream, r reply) {
	var e store.Eligible
	if link.Unpack(raw, &e) != nil {
		r(member.Answer{Code: 400})
		return
	}
	c.add("eligible", &e, outcome(r))
}

func (c *Core) askEnds(raw []byte, _ *link.Stream, r reply) {
	var e store.Ends
	if link.Unpack(raw, &e) != nil {
		r(member.Answer{Code: 400})
		return
	}
	if a := c.att[e.Worker]; a != nil {
		a.heard = time.Now()
	}
	c.add("ends", &e, outcome(r))
}

func (c *Core) askRenew(raw []byte, s *link.Stream, r reply) {
	var n member.Renew
	if link.Unpack(raw, &n) != nil {
		r(member.Answer{Code: 400})
		return
	}
	if code := c.grant(n.Worker, n.Fence, time.Now()); code != 200 {
		r(member.Answer{Code: code, Text: "take the worker up again"})
		return
	}
	c.att[n.Worker].ratio = n.Ratio
	c.attach(n, s)
	ans := member.Answer{Code: 200, N: c.hold.Milliseconds()}
	ans.Home, ans.Next = c.home(n.Worker)
	r(ans)
}

// linger is a sender who waits a moment for a job's last ends to settle.
type linger struct {
	reply reply
	till  time.Time
}

// settle answers those who wait for a job that ended, or long enough.
func (c *Core) settleLingers(now time.Time) time.Duration {
	wake := time.Duration(0)
	for id, ls := range c.lingers {
		j := c.st.Jobs[id]
		keep := ls[:0]
		for _, l := range ls {
			if left := l.till.Sub(now); left > 0 && j != nil && j.LastRuns() && c.led {
				keep = append(keep, l)
				if wake == 0 || left < wake {
					wake = left
				}
				continue
			}
			switch {
			case !c.led || !c.node.Lease(now):
				l.reply(member.Answer{Code: member.NotLead, Lead: c.leadAddr()})
			case j == nil:
				l.reply(member.Answer{Code: 410, Text: "no such job"})
			default:
				l.reply(member.Answer{Code: 200, Text: j.Word()})
			}
		}
		if len(keep) == 0 {
			delete(c.lingers, id)
		} else {
			c.lingers[id] = keep
		}
	}
	return wake
}
