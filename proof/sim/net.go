package sim

import (
	"time"

	"mulleinmast/wire/message"
)

func (n *node) send(m message.Envelope) {
	w := n.world
	m.Message.From, m.Message.Epoch, m.Message.Addr = n.ident, n.epoch, n.addr
	if m.Message.To == n.ident {
		n.in(0, func() { w.deliver(n, m.Message) })
		return
	}
	w.result.Messages++
	if m.Message.Kind == message.KindGrantLease {
		for _, r := range m.Message.Records {
			if r.Patched {
				w.result.Patched++
			} else if !r.Deleted {
				w.result.Whole++
			}
		}
	}
	if m.Message.Kind == message.KindInvalidate {
		w.result.Invalidations++
	}
	for _, to := range w.nodes {
		if to.addr == m.Addr {
			w.carry(n, to, m.Message)
		}
	}
}

// carry takes a message from one daemon to another, over the network's faults and what a
// sabotage does to it.
func (w *world) carry(from, to *node, m message.Message) {
	if w.cutLinks[[2]string{from.name, to.name}] {
		if w.options.Held > 0 && w.rng.Float64() < w.options.Held {
			w.heldMessages = append(w.heldMessages, heldMessage{from, to, m})
		}
		return
	}
	if w.options.Sabotage == "ackpurge" && m.Kind == message.KindInvalidate {
		w.carry(to, from, acknowledgeOnly(from, to, m))
		return
	}
	if w.noCopies(to, m) {
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
	if !w.calm && !w.options.Clean {
		switch x := w.rng.Float64(); {
		case x < 0.005:
			return // lost
		case x < 0.02:
			delay += w.exp(200 * time.Millisecond) // late, overtaken by others
		case x < 0.025:
			w.at(w.exp(300*time.Millisecond), func() { w.arrive(to, m) }) // twice
		}
	}
	w.at(delay, func() { w.arrive(to, m) })
}

// acknowledgeOnly is the sabotage that acknowledges an invalidation and never does it.
func acknowledgeOnly(from, to *node, m message.Message) message.Message {
	return message.Message{
		Kind: message.KindInvalidated, Partition: m.Partition, Key: m.Key, ResponseTo: m.ResponseTo,
		From: to.ident, Epoch: to.epoch, Addr: to.addr, To: from.ident,
	}
}

// isWithheld reports whether a sabotage withholds a message of the comparison of copies.
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

// cutRecordsShort is what the sabotages do to the records of a message.
func (w *world) cutRecordsShort(from, to *node, m *message.Message) {
	if w.options.Sabotage == "cutshort" && m.Kind == message.KindInstallState && len(m.Records) > 1 {
		m.LastComplete, m.Records = 0, m.Records[:len(m.Records)/2] // and no sum to tell
	}
	if w.options.Sabotage == "oldset" && m.Kind == message.KindGrantVote && m.Op == "" && from != to {
		m.LastComplete, m.Digests, m.Records = 0, nil, nil // the candidate reads its own copy only
	}
}

// sendAgain has part of the messages come a second time, as the run's options ask for.
func (w *world) sendAgain(to *node, m message.Message) {
	if w.options.Mutate > 0 && w.rng.Float64() < w.options.Mutate {
		w.at(w.exp(time.Millisecond), func() { w.arrive(to, w.mutated(m)) })
	}
	// An evacuation that came again would hide what a late end of one undid.
	if w.options.Late > 0 && m.Kind == message.KindCall && m.Op != "evacuate" && w.rng.Float64() < w.options.Late {
		w.at(w.exp(3*time.Second), func() { w.arrive(to, m) })
	}
	if w.options.Responses > 0 && responses[m.Kind] && w.rng.Float64() < w.options.Responses {
		w.at(w.exp(time.Second), func() { w.arrive(to, m) })
	}
}

// networkDelay is how long a message takes that nothing befalls.
func (w *world) networkDelay(from, to *node) time.Duration {
	delay := 100*time.Microsecond + w.exp(400*time.Microsecond)
	if from.zone != to.zone {
		delay += w.options.Far
	}
	if (w.isSlowRelay(from) || w.isSlowRelay(to)) && from != to {
		delay += w.options.Lame
	}
	return delay
}

// responses are the kinds that respond to another message.
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

// arrive hands a message over; one that waits at a frozen node is read on waking.
func (w *world) arrive(to *node, m message.Message) {
	to.in(0, func() {
		if m.To == "" || m.To == to.ident {
			w.deliver(to, m)
		}
	})
}

func (w *world) deliver(to *node, m message.Message) {
	now := to.local()
	switch {
	case m.Kind >= message.KindHello && m.Kind <= message.KindCensusAnswer, m.Kind == message.KindBootstrap:
		o := to.members.Step(now, m)
		for _, s := range o.Sends {
			to.send(s)
		}
		to.bootstrap(now, o.Bootstrap)
		return
	case m.Kind == message.KindCallResult:
		to.carryCalls(to.calls.Step(now, m))
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
	w.spoilCall(to, &m)
	to.carry(m.Partition, p.Step(now, m))
}

// traceMessage traces what a daemon is sent of the lease tree and of the votes.
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

// isSlowRelay tells whether a daemon's machine is slow now: the last zone's relays.
func (w *world) isSlowRelay(n *node) bool {
	if w.options.Lame == 0 || w.now < 15*time.Second || w.now > 55*time.Second || n.zone != w.nodes[len(w.nodes)-1].zone {
		return false
	}
	for p := 0; p <= w.options.Partitions; p++ {
		if n.view.Relay(p, n.zone).Ident == n.ident {
			return true
		}
	}
	return false
}

// mutated is a message with one field changed, from somebody who is no member.
// Kinds are kept: an unknown one never gets past the wire.
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
