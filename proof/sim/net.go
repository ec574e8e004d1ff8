package sim

import (
	"time"

	"mulleinmast/wire/message"
)

// send counts a message and transmits it to every node at its address.
func (n *node) send(m message.Envelope) {
	w := n.world
	m.Message.From, m.Message.Epoch, m.Message.Addr = n.ident, n.epoch, n.addr
	if m.Message.To == n.ident {
		n.schedule(0, func() { w.deliver(n, m.Message) })
		return
	}
	w.result.Messages++
	if m.Message.Kind == message.KindGrantLease {
		for _, r := range m.Message.Records {
			if r.Patched {
				w.result.PatchedCount++
			} else if !r.Deleted {
				w.result.FullCount++
			}
		}
	}
	if m.Message.Kind == message.KindInvalidate {
		w.result.Invalidations++
	}
	for _, to := range w.nodes {
		if to.addr == m.Addr {
			w.transmit(n, to, m.Message)
		}
	}
}

// transmit sends a message from one daemon to another, subject to network faults and
// sabotages.
func (w *world) transmit(from, to *node, m message.Message) {
	if w.cutLinks[[2]string{from.name, to.name}] {
		if w.options.HeldShare > 0 && w.rng.Float64() < w.options.HeldShare {
			w.heldMessages = append(w.heldMessages, heldMessage{from, to, m})
		}
		return
	}
	if w.options.Sabotage == "ackpurge" && m.Kind == message.KindInvalidate {
		w.transmit(to, from, acknowledgeOnly(from, to, m))
		return
	}
	if w.dropsStandbyCopy(to, m) {
		return
	}
	if m.Kind == message.KindRedirect {
		w.result.Steers[m.Reason]++
	}
	if w.isWithheld(m) {
		return
	}
	w.cutRecordsShort(from, to, &m)
	w.sendAgain(to, m)
	delay := w.networkDelay(from, to)
	if !w.faultsEnded && !w.options.Clean {
		switch x := w.rng.Float64(); {
		case x < 0.005:
			return // lost
		case x < 0.02:
			delay += w.exp(200 * time.Millisecond) // late: other messages overtake it
		case x < 0.025:
			w.schedule(w.exp(300*time.Millisecond), func() { w.arrive(to, m) }) // duplicated
		}
	}
	w.schedule(delay, func() { w.arrive(to, m) })
}

// acknowledgeOnly returns the acknowledgement of an invalidation, for the sabotage that
// acknowledges it without delivering it.
func acknowledgeOnly(from, to *node, m message.Message) message.Message {
	return message.Message{
		Kind: message.KindInvalidated, Partition: m.Partition, Key: m.Key, ResponseTo: m.ResponseTo,
		From: to.ident, Epoch: to.epoch, Addr: to.addr, To: from.ident,
	}
}

// isWithheld reports whether a sabotage drops this message of the comparison of replicas' copies.
func (w *world) isWithheld(m message.Message) bool {
	if m.Kind != message.KindInstallState {
		return false
	}
	switch w.options.Sabotage {
	case "nomend":
		return m.Op != ""
	case "nochase":
		return m.Op == "compare" && m.RequestID > 0
	}
	return false
}

// cutRecordsShort removes records from a message, as the current sabotage asks for.
func (w *world) cutRecordsShort(from, to *node, m *message.Message) {
	if w.options.Sabotage == "cutshort" && m.Kind == message.KindInstallState && len(m.Records) > 1 {
		m.LastComplete, m.Records = 0, m.Records[:len(m.Records)/2] // without the checksum that would reveal it
	}
	if w.options.Sabotage == "oldset" && m.Kind == message.KindGrantVote && m.Op == "" && from != to {
		m.LastComplete, m.Digests, m.Records = 0, nil, nil // so that the candidate reads only its own copy
	}
}

// sendAgain duplicates some messages, as the run's options ask for.
func (w *world) sendAgain(to *node, m message.Message) {
	if w.options.MutatedShare > 0 && w.rng.Float64() < w.options.MutatedShare {
		w.schedule(w.exp(time.Millisecond), func() { w.arrive(to, w.mutated(m)) })
	}
	// A repeated evacuation would hide that a delayed return undid one, so they are left out.
	if w.options.LateCallShare > 0 && m.Kind == message.KindCall && m.Op != "evacuate" &&
		w.rng.Float64() < w.options.LateCallShare {
		w.schedule(w.exp(3*time.Second), func() { w.arrive(to, m) })
	}
	if w.options.LateResponseShare > 0 && responses[m.Kind] && w.rng.Float64() < w.options.LateResponseShare {
		w.schedule(w.exp(time.Second), func() { w.arrive(to, m) })
	}
}

// networkDelay returns the transmission time of a message without faults.
func (w *world) networkDelay(from, to *node) time.Duration {
	delay := 100*time.Microsecond + w.exp(400*time.Microsecond)
	if from.zone != to.zone {
		delay += w.options.ZoneDelay
	}
	if (w.isSlowRelay(from) || w.isSlowRelay(to)) && from != to {
		delay += w.options.SlowRelayDelay
	}
	return delay
}

// responses are the kinds of messages that respond to another message.
var responses = map[message.Kind]bool{
	message.KindCallResult:     true,
	message.KindGrantVote:      true,
	message.KindRejectVote:     true,
	message.KindStateInstalled: true,
	message.KindStateMismatch:  true,
	message.KindReplicated:     true,
	message.KindHeartbeatAck:   true,
	message.KindAbandonTerm:    true,
	message.KindGrantLease:     true,
	message.KindReconnect:      true,
	message.KindReconciled:     true,
	message.KindInvalidated:    true,
	message.KindDenyLease:      true,
	message.KindWelcome:        true,
}

// arrive delivers a message. A frozen node reads it when it wakes.
func (w *world) arrive(to *node, m message.Message) {
	to.schedule(0, func() {
		if m.To == "" || m.To == to.ident {
			w.deliver(to, m)
		}
	})
}

// deliver passes a message to the state machine that handles its kind.
func (w *world) deliver(to *node, m message.Message) {
	now := to.local()
	switch {
	case m.Kind >= message.KindHello && m.Kind <= message.KindCensusAnswer, m.Kind == message.KindBootstrap:
		to.applyMembership(now, to.members.Step(now, m))
		return
	case m.Kind == message.KindCallResult:
		to.applyCalls(to.calls.Step(now, m))
		return
	}
	if w.answersFromCache(to, m) {
		return
	}
	p := to.controllers[m.Partition]
	w.traceMessage(to, m)
	if p.Partition().Node.IsRoot() {
		w.result.RootMessages++
	}
	if w.options.Sabotage == "nonumber" && m.Kind == message.KindCall {
		m.ResponseTo = 0
	}
	w.sabotageCall(to, &m)
	to.apply(m.Partition, p.Step(now, m))
}

// traceMessage traces a received message of the lease tree or of the quorum protocol.
func (w *world) traceMessage(to *node, m message.Message) {
	if w.options.Trace == nil {
		return
	}
	length := time.Duration(m.Length)
	switch {
	case m.Kind < message.KindRequestVote:
		w.trace("  %s<-%s partition %d %s key=%s no=%d ref=%d len=%v mark=%v keys=%v recs=%d",
			to.name, m.From, m.Partition, m.Kind, m.Key, m.RequestID, m.ResponseTo, length,
			m.VolumeEpoch, m.Keys, len(m.Records))
	case m.Kind < message.KindHello:
		w.trace("  %s<-%s partition %d %s num=%d set=%d no=%d ref=%d group=%d recs=%d len=%v",
			to.name, m.From, m.Partition, m.Kind, m.Term, m.LastComplete, m.RequestID, m.ResponseTo,
			m.Group.Number, len(m.Records), length)
	}
}

// isSlowRelay reports whether a daemon is slow now: it is a relay of the last zone, between
// 15 s and 55 s.
func (w *world) isSlowRelay(n *node) bool {
	if w.options.SlowRelayDelay == 0 || w.now < 15*time.Second || w.now > 55*time.Second ||
		n.zone != w.nodes[len(w.nodes)-1].zone {
		return false
	}
	for p := 0; p <= w.options.Partitions; p++ {
		if n.view.Relay(p, n.zone).Ident == n.ident {
			return true
		}
	}
	return false
}

// mutated returns a copy of a message with one field changed and a sender that is no
// member. The kind is kept, as the decoder rejects unknown kinds.
func (w *world) mutated(m message.Message) message.Message {
	m.From, m.Addr = "stranger", "10.9.9.9:9"
	n := uint64(w.rng.Int63())
	switch w.rng.Intn(16) {
	case 0:
		m.RequestID = n
	case 1:
		m.ResponseTo = n
	case 2:
		m.Term += 1 + n%3
	case 3:
		m.LastComplete = n
	case 4:
		m.VolumeEpoch.Ident = "stranger"
	case 5:
		m.VolumeEpoch.Term++
	case 6:
		m.Key += "x"
	case 7:
		m.Version.Seq = n
	case 8:
		m.Length = -m.Length
	case 9:
		m.ObjectLease = int64(n)
	case 10:
		m.Records = nil
	case 11:
		m.Digests = []uint64{n}
	case 12:
		m.Group = message.Group{}
	case 13:
		m.Ranges = nil
	case 14:
		m.Op += "x"
	case 15:
		m.Body = []byte("{")
	}
	return m
}
