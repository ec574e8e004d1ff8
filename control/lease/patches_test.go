package lease_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/lease"
	"mulleinmast/wire/message"
)

var bounds = lease.Config{
	VolumeLease: 800 * time.Millisecond, ObjectLease: 48 * time.Second, Drift: 0.02,
	Margin: 20 * time.Millisecond, RenewInterval: 266 * time.Millisecond,
	LoadInterval: 4 * time.Second, MaxRenewals: 2000,
}

// oneZone names each node's parent.
var oneZone = map[string]string{"relay": "root", "leaf-1": "relay", "leaf-2": "relay", "leaf-3": "relay"}

// forest is a root, relays below it and leaves below these; messages arrive at once.
type forest struct {
	t          *testing.T
	now        time.Duration
	nodes      map[string]*lease.Node
	stored     message.Record // at the root
	lastTag    uint64
	completed  []uint64       // tags of invalidations
	grantBytes map[string]int // node -> bytes of grants with records that it was sent
	sentWhole  map[string]int // node -> records that it was sent whole
	corrupt    func(to string, m *message.Message)
}

const watched = "plan/now"

func replica(name string) message.Replica { return message.Replica{Ident: name, Addr: name} }

// plant makes a forest of one zone, in which these nodes have a codec.
func plant(t *testing.T, codecs map[string]lease.Codec) *forest {
	t.Helper()
	f := &forest{
		t: t, now: time.Second, nodes: map[string]*lease.Node{},
		grantBytes: map[string]int{}, sentWhole: map[string]int{},
	}
	names := []string{"root"}
	for name := range oneZone {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		n := lease.New(bounds, 0, replica(name), 1)
		if codec := codecs[name]; codec != nil {
			n.UseCodec(codec, lease.MinPatchedLength)
		}
		f.nodes[name] = n
	}
	f.nodes["root"].BecomeRoot(1, func(key string) message.Record {
		if key == watched {
			return f.stored
		}
		return message.Record{Key: key, Deleted: true}
	}, func() time.Duration { return f.now + time.Hour })
	for _, name := range names {
		if parent := oneZone[name]; parent != "" {
			f.carry(name, f.nodes[name].Pin(f.now, watched))
			f.carry(name, f.nodes[name].SetParent(f.now, replica(parent)))
		}
	}
	return f
}

// carry delivers what a step sends, at once.
func (f *forest) carry(from string, out lease.Out) {
	f.completed = append(f.completed, out.Invalidated...)
	for _, s := range out.Sends {
		m := s.Message
		m.From, m.Addr, m.Epoch = from, from, 1
		to := f.nodes[m.To]
		if to == nil {
			continue
		}
		if f.corrupt != nil {
			f.corrupt(m.To, &m)
		}
		if len(m.Records) > 0 && m.Kind == message.KindGrantLease {
			b, err := m.MarshalMsg(nil)
			if err != nil {
				f.t.Fatal(err)
			}
			f.grantBytes[m.To] += len(b)
			for _, r := range m.Records {
				if !r.Patched && !r.Deleted {
					f.sentWhole[m.To]++
				}
			}
		}
		f.carry(m.To, to.Step(f.now, m))
	}
}

// pass lets time pass, renewals included.
func (f *forest) pass(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 10 * time.Millisecond {
		for name, n := range f.nodes {
			f.carry(name, n.Tick(f.now))
		}
	}
}

// write changes the record at the root: withdrawn everywhere, then served again.
func (f *forest) write(val []byte) {
	f.t.Helper()
	f.lastTag++
	root := f.nodes["root"]
	f.carry("root", root.Suspend(f.now, watched, f.lastTag))
	for n := 0; n < 400 && !slices.Contains(f.completed, f.lastTag); n++ {
		f.pass(10 * time.Millisecond)
	}
	if !slices.Contains(f.completed, f.lastTag) {
		f.t.Fatal("the invalidation is never complete")
	}
	f.stored = message.Record{Key: watched, Version: message.Version{Term: 1, Seq: f.lastTag}, Value: val}
	f.carry("root", root.Resume(f.now, watched))
}

// serves looks whether all nodes serve what the root holds.
func (f *forest) serves(what string) {
	f.t.Helper()
	for name, n := range f.nodes {
		got, ok := n.Get(f.now, watched)
		if !ok || got.Version != f.stored.Version || !bytes.Equal(planJSON(f.t, got.Value), planJSON(f.t, f.stored.Value)) {
			f.t.Errorf("%s: %s serves %v %v, the root %v", what, name, got.Version, ok, f.stored.Version)
		}
	}
}

// planJSON is a plan as JSON, in whichever form its record is.
func planJSON(t *testing.T, val []byte) []byte {
	t.Helper()
	p, err := fleetconfig.ReadPlan(message.Record{Key: watched, Value: val})
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// routes is a plan of so many routes, one of them changed n times.
func routes(t *testing.T, count, n int) []byte {
	t.Helper()
	p := fleetconfig.Plan{
		ID: fmt.Sprintf("%032x", n*7919), Version: uint64(n),
		Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}},
	}
	for i := range count {
		giveUp := 3000
		if i == count/2 {
			giveUp += n
		}
		raw := fmt.Sprintf(`{"name":"r-%07x","host":"host%05x.example","prefix":"/%06x/","kind":"streaming",`+
			`"give_up":%d,"aim":400,"urgency":0,"service":"m","tries":2}`, i*7919, i*104729, i*31, giveUp)
		p.Routes = append(p.Routes, fleetconfig.Route{
			Name: fmt.Sprintf("r-%07x", i*7919), Host: fmt.Sprintf("host%05x.example", i*104729),
			Prefix: fmt.Sprintf("/%06x/", i*31),
			Kind:   fleetconfig.Safe, GiveUpMillis: giveUp,
			Services: []fleetconfig.Share{{Service: "m", Weight: 1}}, Raw: json.RawMessage(raw),
		})
	}
	b, err := fleetconfig.EncodePlan(p)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// countingCodec counts the patches that are made.
type countingCodec struct {
	fleetconfig.Codec
	made *int
}

// Patch counts.
func (c countingCodec) Patch(from, to []byte) []byte {
	*c.made++
	return c.Codec.Patch(from, to)
}

// everywhere gives all nodes a codec.
func everywhere(codec lease.Codec) map[string]lease.Codec {
	codecs := map[string]lease.Codec{"root": codec}
	for name := range oneZone {
		codecs[name] = codec
	}
	return codecs
}

// A change costs each daemon what it changes: at most three times the change and 200
// bytes, of a plan of 84 routes and of 1,500; made once, at the root.
func TestAChangeIsSentAsAPatch(t *testing.T) {
	for _, count := range []int{84, 1500} {
		made := 0
		f := plant(t, everywhere(countingCodec{made: &made}))
		f.write(routes(t, count, 0))
		f.pass(time.Second)
		f.serves("at first")
		atFirst := f.grantBytes["leaf-1"]
		const change = 170 // the item that changes, as its operator sends it
		for n := 1; n <= 5; n++ {
			before := made
			clear(f.grantBytes)
			clear(f.sentWhole)
			f.write(routes(t, count, n))
			f.pass(500 * time.Millisecond)
			f.serves(fmt.Sprintf("change %d", n))
			if made-before != 1 {
				t.Errorf("%d routes: a change was made into %d patches", count, made-before)
			}
			for _, name := range []string{"relay", "leaf-1", "leaf-2", "leaf-3"} {
				if f.grantBytes[name] > 3*change+200 || f.sentWhole[name] > 0 {
					t.Errorf("%d routes, change %d: %s is sent %d bytes, %d records whole",
						count, n, name, f.grantBytes[name], f.sentWhole[name])
				}
			}
		}
		t.Logf("%d routes: %d bytes to a daemon at first, %d for a change", count, atFirst, f.grantBytes["leaf-1"])
	}
}

// A daemon that was away for some changes gets them in a row, one that was away for
// more than are remembered gets the whole.
func TestAReturningDaemonGetsPatchesInARow(t *testing.T) {
	for _, c := range []struct{ missed, wantWhole int }{{1, 0}, {20, 0}, {40, 1}} {
		f := plant(t, everywhere(fleetconfig.Codec{}))
		f.write(routes(t, 300, 0))
		f.pass(time.Second)
		away := f.nodes["leaf-1"]
		delete(f.nodes, "leaf-1")
		f.pass(2 * bounds.VolumeLease)
		for n := 1; n <= c.missed; n++ {
			f.write(routes(t, 300, n))
			f.pass(20 * time.Millisecond)
		}
		clear(f.sentWhole)
		f.nodes["leaf-1"] = away
		f.pass(2 * time.Second)
		f.serves(fmt.Sprintf("%d changes missed", c.missed))
		if f.sentWhole["leaf-1"] != c.wantWhole {
			t.Errorf("%d changes missed: %d records whole", c.missed, f.sentWhole["leaf-1"])
		}
	}
}

// A patch that is corrupted on its way is no record: the whole is asked for, and nothing
// else is ever served.
func TestACorruptPatchIsNotServed(t *testing.T) {
	f := plant(t, everywhere(fleetconfig.Codec{}))
	f.write(routes(t, 300, 0))
	f.pass(time.Second)
	for n, corrupt := range []func(p *message.Patch){
		func(p *message.Patch) { p.Delta = p.Delta[:len(p.Delta)/2] },
		func(p *message.Patch) { p.Delta[len(p.Delta)-1] ^= 1 },
		func(p *message.Patch) { p.From.Seq += 7 },
		func(p *message.Patch) { p.To.Seq += 7 },
	} {
		corrupted := 0
		f.corrupt = func(to string, m *message.Message) {
			for i := range m.Records {
				if to == "leaf-1" && len(m.Records[i].Patches) > 0 && corrupted == 0 {
					corrupted++
					m.Records = slices.Clone(m.Records)
					patches := slices.Clone(m.Records[i].Patches)
					patches[0].Delta = bytes.Clone(patches[0].Delta)
					corrupt(&patches[0])
					m.Records[i].Patches = patches
				}
			}
		}
		clear(f.sentWhole)
		f.write(routes(t, 300, n+1))
		f.pass(2 * time.Second)
		if f.serves(fmt.Sprintf("corrupted, %d", n)); corrupted != 1 {
			t.Errorf("%d: nothing was corrupted", n)
		}
		f.corrupt = nil
	}
}

// Parents and children of a build that knows of no patches are sent, and send, what
// is whole.
func TestABuildWithoutPatchesGetsWholeRecords(t *testing.T) {
	for _, old := range []string{"root", "relay", "leaf-1"} {
		codecs := everywhere(fleetconfig.Codec{})
		delete(codecs, old)
		f := plant(t, codecs)
		for n := range 4 {
			f.write(routes(t, 300, n))
			f.pass(time.Second)
			f.serves(old + " is of an older build")
		}
	}
}

// A record that is asked for anew before its lease ends isn't sent again.
func TestARenewedRecordIsNotSentAgain(t *testing.T) {
	f := plant(t, everywhere(fleetconfig.Codec{}))
	f.write(routes(t, 300, 0))
	f.pass(time.Second)
	clear(f.grantBytes)
	f.pass(bounds.ObjectLease)
	f.serves("an object lease later")
	for name, n := range f.grantBytes {
		if n > 600 {
			t.Errorf("%s is sent %d bytes of records in an object lease", name, n)
		}
	}
}

// failingCodec applies nothing.
type failingCodec struct{ fleetconfig.Codec }

// Apply fails.
func (failingCodec) Apply(_, _ []byte) ([]byte, error) { return nil, errors.New("can't") }

// A daemon that can't apply any patch serves all the same: it gets the whole each time.
func TestADaemonThatCannotApplyPatchesGetsWholeRecords(t *testing.T) {
	codecs := everywhere(fleetconfig.Codec{})
	codecs["leaf-2"], codecs["relay"] = failingCodec{}, failingCodec{}
	f := plant(t, codecs)
	for n := range 5 {
		f.write(routes(t, 300, n))
		f.pass(time.Second)
		f.serves("a codec that fails")
	}
}
