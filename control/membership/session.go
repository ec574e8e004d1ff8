package membership

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// parallelHellos is the maximum number of control daemons that are asked for a session concurrently.
const parallelHellos = 3

// sessionHost is the control daemon's side of the sessions.
type sessionHost struct {
	sessions map[string]session // by the member's identity
}

// session is a member's session at this control daemon.
type session struct {
	member     message.Member
	renewedAt  time.Duration
	knowsGroup bool // the member knows a leader, so the fleet has a group
	isWitness  bool // see message.Hello
}

// open opens or renews a member's session and reports whether the member is new or changed. In
// that case it also ends the session of an earlier incarnation at the same address.
func (h *sessionHost) open(now time.Duration, hello message.Hello) (changed bool) {
	member := hello.Self
	known, ok := h.sessions[member.Ident]
	changed = !ok || known.member != member
	if changed {
		maps.DeleteFunc(h.sessions, func(_ string, s session) bool { return s.member.Addr == member.Addr })
	}
	knowsGroup := hello.LeadershipsDigest != digest(nil, nil)
	h.sessions[member.Ident] = session{member, now, knowsGroup, hello.IsWitness}
	return changed
}

// expire ends the sessions that were not renewed within the timeout and reports whether there
// were any.
func (h *sessionHost) expire(now, timeout time.Duration) (expired bool) {
	before := len(h.sessions)
	maps.DeleteFunc(h.sessions, func(_ string, s session) bool { return now-s.renewedAt > timeout })
	return len(h.sessions) < before
}

// members returns the members with a session, sorted by identity.
func (h *sessionHost) members() (list []message.Member) {
	for _, id := range slices.Sorted(maps.Keys(h.sessions)) {
		list = append(list, h.sessions[id].member)
	}
	return list
}

// sessionClient is the daemon's side of its own session at a control daemon.
type sessionClient struct {
	home         string        // address of the control daemon that has our session
	homeIsolated bool          // home hears from at most half of the control daemons and may not know the leaders
	lastWelcome  time.Duration // time of the last answer from a control daemon
	hasSession   bool          // our session is valid; always true at a control daemon
	helloCount   int           // hello counter, to rotate through the control daemons
}

// maxHelloOffset bounds the initial hello counter, which is derived from the daemon's address so that
// daemons start at different control daemons.
const maxHelloOffset = 97

func newSessionClient(cfg Config, addr string) sessionClient {
	return sessionClient{lastWelcome: -cfg.SessionTimeout, helloCount: int(rendezvousWeight(0, addr) % maxHelloOffset)}
}

// expire updates whether our session is still valid.
func (c *sessionClient) expire(now, timeout time.Duration) {
	c.hasSession = now-c.lastWelcome <= timeout
}

// isHomeUnresponsive reports whether the control daemon that has our session has not answered
// for half a session timeout.
func (c *sessionClient) isHomeUnresponsive(now, timeout time.Duration) bool {
	return now-c.lastWelcome > timeout/2
}

// expireSessions ends the sessions that were not renewed. It rebuilds the view if any ended or
// the last rebuild is a heartbeat interval ago.
func (t *Table) expireSessions(now time.Duration) {
	anyEnded := t.controls.expire(now, t.cfg.SessionTimeout)
	if anyEnded || now-t.view.rebuiltAt >= t.cfg.HeartbeatInterval || t.view.members == nil {
		t.rebuildView(now)
	}
}

// controlAddrs returns the addresses of the known control daemons and the seeds, sorted.
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
	for _, m := range t.view.members { // a seed without a disk holds no sessions
		if !m.HasDisk {
			delete(set, m.Addr)
		}
	}
	delete(set, t.self.Addr)
	addrs := slices.AppendSeq(make([]string, 0, len(set)), maps.Keys(set))
	slices.Sort(addrs)
	return addrs
}

// sendHellos renews the session at the home control daemon. If home is unresponsive, isolated or
// not known yet, sendHellos asks several control daemons concurrently.
func (t *Table) sendHellos(now time.Duration, out *Out) {
	c := &t.client
	addrs := t.controlAddrs()
	if !c.hasSession {
		addrs = append(addrs, t.unlistedLostAddrs()...)
	}
	isHomeUsable := !c.isHomeUnresponsive(now, t.cfg.SessionTimeout) && slices.Contains(addrs, c.home) && !c.homeIsolated
	if isHomeUsable {
		addrs = []string{c.home}
	}
	for range min(parallelHellos, len(addrs)) {
		c.helloCount++
		t.sendHello(addrs[c.helloCount%len(addrs)], out)
	}
}

func (t *Table) sendHello(addr string, out *Out) {
	hello := message.Hello{
		Self:              t.self,
		ViewDigest:        t.view.viewDigest(),
		LeadershipsDigest: digest(nil, t.knownLeaderships()),
		TakesDiff:         true,
		IsWitness:         t.isWitness(),
	}
	out.send(addr, hello.Message())
}

// handleHello opens or renews a session. A daemon without a disk holds no sessions and sends a
// referral to control daemons instead.
func (t *Table) handleHello(now time.Duration, m message.Hello, out *Out) {
	if m.Self.Ident == "" {
		return
	}
	if !t.self.HasDisk {
		t.sendReferral(m.Self, out)
		return
	}
	changed := t.controls.open(now, m)
	if changed && now-t.view.rebuiltAt >= t.cfg.HeartbeatInterval/4 { // limits rebuilds during a burst of hellos
		t.rebuildView(now)
	}
	out.send(m.Self.Addr, t.newWelcome(now, m).Message())
	if t.isIsolated(now) { // the member may know no other control daemon
		t.sendLostReferral(m.Self, out)
	}
}

// newWelcome returns the answer to a hello. It includes only the data that the member does not have.
func (t *Table) newWelcome(now time.Duration, m message.Hello) message.Welcome {
	w := message.Welcome{
		Leaderships: t.knownLeaderships(), ViewDigest: t.view.viewDigest(), ControlDaemonCount: t.reachableControls(now),
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

// reachableControls returns the number of control daemons heard from within a session timeout,
// including this one.
func (t *Table) reachableControls(now time.Duration) int {
	count := 1
	for _, g := range t.gossip.received {
		if now-g.at <= t.cfg.SessionTimeout {
			count++
		}
	}
	return count
}

// handleWelcome handles a control daemon's answer to a hello. It follows a referral; any other
// welcome means that our session is valid, and handleWelcome applies the sender's view.
func (t *Table) handleWelcome(now time.Duration, from string, m message.Welcome, out *Out) {
	if m.Form == message.WelcomeReferral {
		t.followReferral(m.Members, out)
		return
	}
	t.recordWelcome(now, from, m.ControlDaemonCount)
	switch {
	case m.Form == message.WelcomeDiff:
		t.mergeDiff(m)
	case m.Form == message.WelcomeWhole && len(m.Members) > 0:
		t.setView(m.Members)
	}
	t.learnLeaderships(m.Leaderships)
}

// recordWelcome records that a control daemon has our session. The sender becomes home if the
// current home is unresponsive or unknown, or is isolated while the sender is not.
func (t *Table) recordWelcome(now time.Duration, from string, controls int) {
	c := &t.client
	addrs := t.controlAddrs()
	isolated := controls > 0 && controls*2 <= len(addrs)
	isHomeLost := c.isHomeUnresponsive(now, t.cfg.SessionTimeout) || !slices.Contains(addrs, c.home)
	if isHomeLost || c.homeIsolated && !isolated {
		c.home = from
	}
	if from == c.home {
		c.homeIsolated = isolated
	}
	c.lastWelcome, c.hasSession = now, true
}

// followReferral learns the control daemons of a referral and, without a session, sends hellos
// to the new ones.
func (t *Table) followReferral(members []message.Member, out *Out) {
	for _, m := range members {
		if t.learnControl(m) && !t.client.hasSession && len(out.Sends) < parallelHellos {
			t.sendHello(m.Addr, out)
		}
	}
}

// maxLearnedAddrs limits the addresses learned from referrals and gossip.
const maxLearnedAddrs = 64

// learnControl stores the address of a control daemon and reports whether it is new.
func (t *Table) learnControl(m message.Member) bool {
	if !m.HasDisk || m.Addr == "" || m.Addr == t.self.Addr || len(t.learnedAddrs) >= maxLearnedAddrs ||
		slices.Contains(t.learnedAddrs, m.Addr) {
		return false
	}
	t.AddControlAddrs(m.Addr)
	return true
}

// sendReferral sends the known control daemons to a daemon that does not know them all. A seed
// without a disk holds no sessions, but can name the control daemons that do.
func (t *Table) sendReferral(to message.Member, out *Out) {
	if controls := t.controlDaemons(); len(controls) > 0 {
		out.send(to.Addr, message.Welcome{Form: message.WelcomeReferral, Members: controls}.Message())
	}
}
