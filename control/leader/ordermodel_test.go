package leader

import (
	"fmt"
	"math/rand"
	"slices"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/wire/message"
)

// Times of the model. Those of callers and of daemons' calls are the ones of the platform's interface.
const (
	modelStep         = 10 * time.Millisecond  // between two ticks
	modelPatience     = time.Second            // after which a caller gives up a try
	modelAckBound     = 4 * time.Second        // for how long an order is sent again; in settled times it is acknowledged sooner
	modelCallTimeout  = 900 * time.Millisecond // of a call at its daemon, from the arrival of the request
	modelHangUpWait   = 14 * time.Millisecond  // from the arrival of a request until it is passed on
	modelNetworkDelay = 4 * time.Millisecond   // most without a fault
	modelHoldUp       = 12 * time.Second       // most that a fault adds to it
	maxSettledLosses  = 2                      // lost answers of an order in settled times: each costs its caller's patience
	modelFaultsEnd    = 40 * time.Second
	modelOrdersEnd    = 60 * time.Second
	modelEnd          = modelOrdersEnd + 2*modelAckBound
)

// modelFaults are the shares of messages and answers with a fault until modelFaultsEnd, in percent, and the mean
// times between faults of the machines.
type modelFaults struct {
	lost, doubled, heldUp, answersLost int
	freezes, leaderChanges             time.Duration
}

// modelOrders is what operators ask for.
type modelOrders struct {
	operators, zones int
	evacuations      int           // share of the orders, in percent
	pause            time.Duration // most between two orders of an operator
}

// modelOrder is an order of one operator, over all its tries.
type modelOrder struct {
	name     string
	op, zone string
	begun    time.Duration
	done     time.Duration // when a leader executed it first; 0: not yet
	ended    time.Duration // when its caller got the acknowledgement or gave the order up; 0: not yet
	settled  bool          // no fault but lost answers happened while it was open
	lost     int           // answers lost
}

// modelTry is one request of an order, at one daemon.
type modelTry struct {
	order      *modelOrder
	onAnswer   func(status int) // at the caller
	over       bool             // the caller got an answer, or gave the try up
	hangUpSeen bool             // the daemon has seen that the caller gave up
	call       uint64           // ID of the daemon's call; 0: none was started
}

// modelDaemon passes orders on to the leader.
type modelDaemon struct {
	name        string
	calls       *leadercall.Calls
	tries       map[uint64]*modelTry // by call ID
	frozenUntil time.Duration
}

// orderModel is a leader with daemons and operators, under drawn faults.
type orderModel struct {
	t       *rapid.T
	test    *testing.T
	random  *rand.Rand
	faults  modelFaults
	asked   modelOrders
	now     time.Duration
	events  []modelEvent // by time
	leader  *testLeader  // nil while there is none
	former  *testLeader
	leaders int
	daemons []*modelDaemon
	orders  []*modelOrder
	byCall  map[string]*modelOrder // orders by the ID of their call at the leader
}

// modelEvent is a step of the model that is due at a time.
type modelEvent struct {
	at  time.Duration
	run func()
}

// after schedules a step; steps of the same time keep their order.
func (m *orderModel) after(delay time.Duration, run func()) {
	at := m.now + delay
	i := sort.Search(len(m.events), func(i int) bool { return m.events[i].at > at })
	m.events = slices.Insert(m.events, i, modelEvent{at, run})
}

// atDaemon runs a step of a daemon after a delay, or when the daemon resumes.
func (m *orderModel) atDaemon(d *modelDaemon, delay time.Duration, step func()) {
	m.after(delay, func() {
		if d.frozenUntil > m.now {
			m.atDaemon(d, d.frozenUntil-m.now, step)
			return
		}
		step()
	})
}

func (m *orderModel) faulty() bool { return m.now < modelFaultsEnd }

// happens reports whether a fault with a share in percent happens.
func (m *orderModel) happens(percent int) bool { return m.faulty() && m.random.Intn(100) < percent }

// upTo returns a random duration.
func (m *orderModel) upTo(most time.Duration) time.Duration {
	return time.Duration(m.random.Int63n(int64(most)) + 1)
}

// networkDelay returns for how long a message is under way.
func (m *orderModel) networkDelay() time.Duration {
	if m.happens(m.faults.heldUp) {
		return m.upTo(modelHoldUp)
	}
	return m.upTo(modelNetworkDelay)
}

// run plays the model to its end.
func (m *orderModel) run() {
	m.startLeader()
	for i := range m.asked.operators {
		m.giveOrders(fmt.Sprint("operator-", i), 1)
	}
	m.freezeDaemons()
	m.changeLeaders()
	for tick := modelStep; tick < modelEnd; tick += modelStep {
		for len(m.events) > 0 && m.events[0].at <= tick {
			next := m.events[0]
			m.events = m.events[1:]
			m.now = next.at
			next.run()
		}
		m.now = tick
		if m.leader != nil {
			m.leader.tick()
		}
		for _, d := range m.daemons {
			if d.frozenUntil <= m.now {
				m.deliver(d, d.calls.Tick(m.now, m.currentLeader))
			}
		}
	}
}

// giveOrders gives one order after another.
func (m *orderModel) giveOrders(operator string, number int) {
	if m.now > modelOrdersEnd {
		return
	}
	order := &modelOrder{
		name: fmt.Sprintf("order %d of %s", number, operator), begun: m.now, settled: !m.faulty(),
		op: leadercall.OpReturn, zone: fmt.Sprint("zone-", m.random.Intn(m.asked.zones)),
	}
	if m.random.Intn(100) < m.asked.evacuations {
		order.op = leadercall.OpEvacuate
	}
	m.orders = append(m.orders, order)
	m.sendOrder(order, m.random.Intn(len(m.daemons)), 50*time.Millisecond, func() {
		order.ended = m.now
		m.after(m.upTo(m.asked.pause), func() { m.giveOrders(operator, number+1) })
	})
}

// sendOrder sends an order to one daemon after another until it is acknowledged or given up.
func (m *orderModel) sendOrder(order *modelOrder, daemon int, pause time.Duration, onEnd func()) {
	if m.now-order.begun >= modelAckBound {
		if order.settled {
			m.t.Errorf("%s, %s %s, was not acknowledged in settled times", order.name, order.op, order.zone)
		}
		onEnd()
		return
	}
	again := func() {
		m.after(pause, func() { m.sendOrder(order, (daemon+1)%len(m.daemons), 2*pause, onEnd) })
	}
	try := &modelTry{order: order}
	try.onAnswer = func(status int) {
		try.over = true
		if status != 200 {
			again()
			return
		}
		if order.done == 0 {
			m.t.Errorf("%s, %s %s, was acknowledged and not done", order.name, order.op, order.zone)
		}
		onEnd()
	}
	d, delay := m.daemons[daemon], m.networkDelay()
	m.atDaemon(d, delay, func() { m.receive(d, try) })
	m.after(modelPatience, func() {
		if try.over {
			return
		}
		try.over = true
		// The end of the connection doesn't overtake the request, and comes soon after it.
		m.atDaemon(d, max(0, delay-modelPatience)+m.upTo(modelNetworkDelay), func() { m.hangUp(d, try) })
		again()
	})
}

// receive handles a request at a daemon, as the platform's interface does.
func (m *orderModel) receive(d *modelDaemon, try *modelTry) {
	received := m.now
	m.atDaemon(d, modelHangUpWait, func() {
		left := modelCallTimeout - (m.now - received)
		if try.hangUpSeen || left <= 0 {
			return // the daemon answers 503, to nobody
		}
		id, out := d.calls.Start(m.now, m.currentLeader(0), 0, try.order.op, []byte(try.order.zone), m.now+left, false)
		try.call, d.tries[id] = id, try
		m.byCall[fmt.Sprintf("%s#1/%d", d.name, id)] = try.order
		m.deliver(d, out)
	})
}

func (m *orderModel) hangUp(d *modelDaemon, try *modelTry) {
	try.hangUpSeen = true
	if try.call != 0 {
		d.calls.Cancel(try.call)
		delete(d.tries, try.call)
	}
}

// deliver sends a daemon's calls to the leader, and the results of ended calls to their callers.
func (m *orderModel) deliver(d *modelDaemon, out leadercall.Out) {
	for _, sent := range out.Sends {
		if m.happens(m.faults.doubled) {
			m.after(m.networkDelay(), func() { m.reachLeader(d, sent.Message) })
		}
		if !m.happens(m.faults.lost) {
			m.after(m.networkDelay(), func() { m.reachLeader(d, sent.Message) })
		}
	}
	for _, result := range out.Results {
		try := d.tries[result.CallID]
		delete(d.tries, result.CallID)
		if result.Status != 200 && try.order.settled {
			m.t.Errorf("%s, %s %s, was refused in settled times: %d %s",
				try.order.name, try.order.op, try.order.zone, result.Status, result.Body)
		}
		if try.over || m.losesAnswer(try.order) {
			continue
		}
		try.onAnswer(result.Status)
	}
}

// losesAnswer reports whether an answer to a caller is lost. In settled times so few are that the order can still be
// acknowledged in time.
func (m *orderModel) losesAnswer(order *modelOrder) bool {
	if m.random.Intn(100) >= m.faults.answersLost || order.settled && order.lost == maxSettledLosses {
		return false
	}
	order.lost++
	return true
}

// currentLeader returns the leader, which every daemon knows.
func (m *orderModel) currentLeader(int) message.Replica {
	if m.leader == nil {
		return message.Replica{}
	}
	return message.Replica{Ident: fmt.Sprint("leader-", m.leaders), Addr: self.Addr}
}

// reachLeader delivers a call to the leader that it was sent to, unless another one has taken over.
func (m *orderModel) reachLeader(d *modelDaemon, frame message.Message) {
	if m.leader == nil || frame.To != m.currentLeader(0).Ident {
		return
	}
	call := frame.AsCall()
	before := m.zones()
	m.leader.send(d.name, call)
	m.checkEffect(m.byCall[fmt.Sprintf("%s#1/%d", d.name, call.CallID)], before, m.zones())
	for _, answer := range m.leader.answers {
		answer.From = frame.To
		if !m.happens(m.faults.lost) {
			m.atDaemon(d, m.networkDelay(), func() { m.deliver(d, d.calls.Step(m.now, answer)) })
		}
	}
}

func (m *orderModel) zones() map[string]bool {
	return fleetconfig.MustReadZones(m.leader.readRecord(fleetconfig.ZoneKey))
}

// checkEffect checks that a call's order was still open, or that no later order has been done since it ended.
func (m *orderModel) checkEffect(order *modelOrder, before, after map[string]bool) {
	if after[order.zone] == (order.op == leadercall.OpEvacuate) && m.leader.answers[0].Status == 200 && order.done == 0 {
		order.done = m.now
	}
	if before[order.zone] == after[order.zone] {
		return
	}
	for _, later := range m.orders {
		if later.zone == order.zone && order.ended > 0 && later.begun > order.ended && later.done > 0 {
			m.t.Errorf("%s, %s %s, ended at %v and took effect at %v; %s, %s, was done at %v",
				order.name, order.op, order.zone, order.ended, m.now, later.name, later.op, later.done)
		}
	}
}

// freezeDaemons freezes random daemons until faults end.
func (m *orderModel) freezeDaemons() {
	m.after(m.upTo(2*m.faults.freezes), func() {
		if m.faulty() {
			d := m.daemons[m.random.Intn(len(m.daemons))]
			d.frozenUntil = max(d.frozenUntil, min(m.now+m.upTo(4*time.Second), modelFaultsEnd))
			m.freezeDaemons()
		}
	})
}

// changeLeaders ends leaderships until faults end.
func (m *orderModel) changeLeaders() {
	m.after(m.upTo(2*m.faults.leaderChanges), func() {
		if !m.faulty() || m.leader == nil {
			return
		}
		m.former, m.leader = m.leader, nil
		m.after(min(m.upTo(2*time.Second), modelFaultsEnd-m.now), func() {
			m.startLeader()
			m.changeLeaders()
		})
	})
}

func (m *orderModel) startLeader() {
	m.leaders++
	m.leader = startLeader(m.test, 0, m.former)
}

// Orders are drawn, with lost answers, callers that hang up, daemons that freeze, messages that are lost, doubled and
// held up, and changes of leader. No order takes effect once it has ended and a later order of its zone has been done;
// in settled times none is refused, and each is acknowledged within the bound and done.
func TestOrdersUnderDrawnFaults(t *testing.T) {
	acknowledged := 0
	rapid.Check(t, func(rt *rapid.T) {
		percent := rapid.IntRange(0, 30)
		mean := rapid.IntRange(1, 20)
		m := &orderModel{
			t: rt, test: t, random: rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed"))), byCall: map[string]*modelOrder{},
			faults: modelFaults{
				lost: percent.Draw(rt, "lost"), doubled: percent.Draw(rt, "doubled"), heldUp: percent.Draw(rt, "held up"),
				answersLost:   percent.Draw(rt, "answers lost"),
				freezes:       time.Duration(mean.Draw(rt, "seconds between freezes")) * time.Second,
				leaderChanges: time.Duration(mean.Draw(rt, "seconds between changes of leader")) * time.Second,
			},
			asked: modelOrders{
				operators: rapid.IntRange(1, 4).Draw(rt, "operators"), zones: rapid.IntRange(1, 2).Draw(rt, "zones"),
				evacuations: rapid.IntRange(10, 90).Draw(rt, "evacuations"),
				pause:       time.Duration(rapid.IntRange(50, 4000).Draw(rt, "pause in ms")) * time.Millisecond,
			},
		}
		for i := range 3 {
			m.daemons = append(m.daemons, &modelDaemon{
				name: fmt.Sprint("d", i), tries: map[uint64]*modelTry{},
				calls: leadercall.New(leadercall.Config{
					TryTimeout: 400 * time.Millisecond, RetryInterval: 25 * time.Millisecond, RetryAfter: 2 * time.Second,
				}, 1),
			})
		}
		m.run()
		for _, order := range m.orders {
			if order.done > 0 && order.settled {
				acknowledged++
			}
		}
	})
	t.Logf("%d orders were done in settled times", acknowledged)
}
