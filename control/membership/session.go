package membership

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// parallelHellos is how many control daemons are asked at once for a session.
const parallelHellos = 3

// sessionHost is a control daemon's side of sessions.
type sessionHost struct {
	sessions map[string]session // by the member's identity
}

// session is a member's session at this control daemon.
type session struct {
	member    message.Member
	renewedAt time.Duration
}

// open opens or renews a member's session; it tells whether something changed. An
// earlier incarnation at the same address has ended.
func (h *sessionHost) open(now time.Duration, member message.Member) (changed bool) {
	known, ok := h.sessions[member.Ident]
	changed = !ok || known.member != member
	if changed {
		maps.DeleteFunc(h.sessions, func(_ string, s session) bool { return s.member.Addr == member.Addr })
	}
	h.sessions[member.Ident] = session{member, now}
	return changed
}

// expire ends sessions that were not renewed for longer than a time; it tells whether
// there were any.
func (h *sessionHost) expire(now, timeout time.Duration) (expired bool) {
	before := len(h.sessions)
	maps.DeleteFunc(h.sessions, func(_ string, s session) bool { return now-s.renewedAt > timeout })
	return len(h.sessions) < before
}

// members lists those with a session, in the order of their identities.
func (h *sessionHost) members() (list []message.Member) {
	for _, id := range slices.Sorted(maps.Keys(h.sessions)) {
		list = append(list, h.sessions[id].member)
	}
	return list
}

// sessionClient is a daemon's side of its own session at a control daemon.
type sessionClient struct {
	home         string        // address of the control daemon that has our session
	homeIsolated bool          // it hears of few others: it may not know the leaders
	lastWelcome  time.Duration // when a control daemon last answered
	hasSession   bool          // our session stands; always true at a control daemon
	next         int           // counts hellos, to go round the control daemons
}

// firstHello spreads the daemons over the control daemons: each begins elsewhere.
const firstHello = 97

func newSessionClient(cfg Config, addr string) sessionClient {
	return sessionClient{lastWelcome: -cfg.SessionTimeout, next: int(rendezvousWeight(0, addr) % firstHello)}
}

// expire notes whether our session still stands.
func (c *sessionClient) expire(now, timeout time.Duration) {
	c.hasSession = now-c.lastWelcome <= timeout
}

// isHomeQuiet tells whether the control daemon that has our session has not answered
// for half a session.
func (c *sessionClient) isHomeQuiet(now, timeout time.Duration) bool {
	return now-c.lastWelcome > timeout/2
}

// expireSessions ends the sessions that were not renewed, and makes the view anew
// where that, or time, demands it.
func (t *Table) expireSessions(now time.Duration) {
	anyEnded := t.controls.expire(now, t.cfg.SessionTimeout)
	if anyEnded || now-t.view.madeAt >= t.cfg.HeartbeatInterval || t.view.members == nil {
		t.rebuildView(now)
	}
}

// controlAddrs lists the addresses of control daemons, known ones and seeds, in order.
func (t *Table) controlAddrs() []string {
	set := map[string]bool{}
	for _, m := range t.view.members {
		if m.HasDisk {
			set[m.Addr] = true
		}
	}
	for _, addr := range t.seeds {
		set[addr] = true
	}
	for _, addr := range t.learnedAddrs {
		set[addr] = true
	}
	for _, m := range t.view.members { // a seed may be one that holds no sessions
		if !m.HasDisk {
			delete(set, m.Addr)
		}
	}
	delete(set, t.self.Addr)
	addrs := slices.AppendSeq(make([]string, 0, len(set)), maps.Keys(set))
	slices.Sort(addrs)
	return addrs
}

// sendHellos renews the session at the control daemon that has it; when that is
// silent or isolated from most others, or there is none yet, it asks several at
// once.
func (t *Table) sendHellos(now time.Duration, out *Out) {
	c := &t.client
	addrs := t.controlAddrs()
	if !c.hasSession {
		addrs = append(addrs, t.unnamedLostAddrs()...)
	}
	isHomeFine := !c.isHomeQuiet(now, t.cfg.SessionTimeout) && slices.Contains(addrs, c.home) && !c.homeIsolated
	if isHomeFine {
		addrs = []string{c.home}
	}
	for range min(parallelHellos, len(addrs)) {
		c.next++
		t.sendHello(addrs[c.next%len(addrs)], out)
	}
}

func (t *Table) sendHello(addr string, out *Out) {
	hello := message.Hello{
		Self:              t.self,
		ViewDigest:        t.view.viewDigest(),
		LeadershipsDigest: digest(nil, t.knownLeaderships()),
		TakesDiff:         true,
	}
	out.send(addr, hello.Message())
}

// handleHello opens or renews a session. A daemon without a disk holds none, and names
// control daemons instead.
func (t *Table) handleHello(now time.Duration, m message.Hello, out *Out) {
	if m.Self.Ident == "" {
		return
	}
	if !t.self.HasDisk {
		t.refer(m.Self, out)
		return
	}
	changed := t.controls.open(now, m.Self)
	if changed && now-t.view.madeAt >= t.cfg.HeartbeatInterval/4 { // many may come at once
		t.rebuildView(now)
	}
	out.send(m.Self.Addr, t.welcome(now, m).Message())
	if t.isIsolated(now) { // the member's session here may be all that it has
		t.referToLost(m.Self, out)
	}
}

// welcome is the answer to a hello: what the member doesn't have yet.
func (t *Table) welcome(now time.Duration, m message.Hello) message.Welcome {
	w := message.Welcome{
		Leaderships: t.knownLeaderships(), ViewDigest: t.view.viewDigest(), Controls: t.controlsHeard(now),
	}
	if m.LeadershipsDigest == digest(nil, w.Leaderships) {
		w.Leaderships = nil
	}
	if w.ViewDigest == m.ViewDigest {
		return w
	}
	w.Members = t.view.members
	if !m.TakesDiff {
		return w
	}
	if changed, removed, ok := t.view.diffSince(m.ViewDigest); ok {
		w.Form, w.Members, w.RemovedAddrs = message.WelcomeDiff, changed, removed
	}
	return w
}

// controlsHeard is the number of control daemons that this one heard of within a
// session, and itself.
func (t *Table) controlsHeard(now time.Duration) int {
	count := 1
	for _, g := range t.gossip.received {
		if now-g.at <= t.cfg.SessionTimeout {
			count++
		}
	}
	return count
}

// handleWelcome notes that the session stands, and takes the sender's view.
func (t *Table) handleWelcome(now time.Duration, from string, m message.Welcome, out *Out) {
	if m.Form == message.WelcomeReferral {
		t.followReferral(m.Members, out)
		return
	}
	t.noteWelcome(now, from, m.Controls)
	switch {
	case m.Form == message.WelcomeDiff:
		t.mergeDiff(m)
	case m.Form == message.WelcomeWhole && len(m.Members) > 0:
		t.setView(m.Members)
	}
	t.learnLeaderships(m.Leaderships)
}

// noteWelcome notes that a control daemon has our session. Its sender becomes home
// where home is quiet or unknown, or is isolated and the sender isn't.
func (t *Table) noteWelcome(now time.Duration, from string, controls int) {
	c := &t.client
	addrs := t.controlAddrs()
	isolated := controls > 0 && controls*2 <= len(addrs)
	isHomeLost := c.isHomeQuiet(now, t.cfg.SessionTimeout) || !slices.Contains(addrs, c.home)
	if isHomeLost || c.homeIsolated && !isolated {
		c.home = from
	}
	if from == c.home {
		c.homeIsolated = isolated
	}
	c.lastWelcome, c.hasSession = now, true
}

// followReferral asks control daemons that were named and not known, where there is no
// session.
func (t *Table) followReferral(members []message.Member, out *Out) {
	for _, m := range members {
		if t.learnControl(m) && !t.client.hasSession && len(out.Sends) < parallelHellos {
			t.sendHello(m.Addr, out)
		}
	}
}

// maxLearnedAddrs bounds the addresses that are learned from others.
const maxLearnedAddrs = 64

// learnControl keeps the address of a control daemon; it tells whether it is new here.
func (t *Table) learnControl(m message.Member) bool {
	if !m.HasDisk || m.Addr == "" || m.Addr == t.self.Addr || len(t.learnedAddrs) >= maxLearnedAddrs ||
		slices.Contains(t.learnedAddrs, m.Addr) {
		return false
	}
	t.AddControlAddrs(m.Addr)
	return true
}

// refer names the control daemons known here to a daemon that can't find any: a
// seed without a disk holds no session, but knows who can.
func (t *Table) refer(to message.Member, out *Out) {
	if controls := t.controlDaemons(); len(controls) > 0 {
		out.send(to.Addr, message.Welcome{Form: message.WelcomeReferral, Members: controls}.Message())
	}
}
