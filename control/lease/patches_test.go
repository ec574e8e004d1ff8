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

var bounds = lease.Config{VolumeLease: 800 * time.Millisecond, ObjectLease: 48 * time.Second, Drift: 0.02, Margin: 20 * time.Millisecond, RenewInterval: 266 * time.Millisecond, LoadInterval: 4 * time.Second, MaxRenewals: 2000}

// forest is a root, relays below it and leaves below these; messages arrive at once.
type forest struct {
	t     *testing.T
	now   time.Duration
	nodes map[string]*lease.Node
	rec   message.Record // what the root holds
	tag   uint64
	bytes map[string]int // that a node was sent in grants, of records
	whole map[string]int // records that a node was sent whole
	spoil func(to string, n *message.Message)
	done  []uint64
}

const watched = "plan/now"

func replica(name string) message.Replica { return message.Replica{Ident: name, Addr: name} }

// plant makes a forest: under names each node's parent.
func plant(t *testing.T, codec map[string]lease.Codec, least int, parents map[string]string) *forest {
	f := &forest{t: t, now: time.Second, nodes: map[string]*lease.Node{}, bytes: map[string]int{}, whole: map[string]int{}}
	names := []string{"root"}
	for name := range parents {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		n := lease.New(bounds, 0, replica(name), 1)
		if c := codec[name]; c != nil {
			n.UseCodec(c, least)
		}
		f.nodes[name] = n
	}
	f.nodes["root"].BecomeRoot(1, func(key string) message.Record {
		if key == watched {
			return f.rec
		}
		return message.Record{Key: key, Deleted: true}
	}, func() time.Duration { return f.now + time.Hour })
	for _, name := range names {
		if parents[name] != "" {
			f.carry(name, f.nodes[name].Pin(f.now, watched))
			f.carry(name, f.nodes[name].SetParent(f.now, replica(parents[name])))
		}
	}
	return f
}

func (f *forest) carry(from string, o lease.Out) {
	f.done = append(f.done, o.Invalidated...)
	for _, s := range o.Sends {
		n := s.Message
		n.From, n.Addr, n.Epoch = from, from, 1
		to := f.nodes[n.To]
		if to == nil {
			continue
		}
		if f.spoil != nil {
			f.spoil(n.To, &n)
		}
		if len(n.Records) > 0 && n.Kind == message.KindGrantLease {
			b, err := n.MarshalMsg(nil)
			if err != nil {
				f.t.Fatal(err)
			}
			f.bytes[n.To] += len(b)
			for _, r := range n.Records {
				if !r.Patched && !r.Deleted {
					f.whole[n.To]++
				}
			}
		}
		f.carry(n.To, to.Step(f.now, n))
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
	f.tag++
	root := f.nodes["root"]
	f.carry("root", root.Suspend(f.now, watched, f.tag))
	for n := 0; n < 400 && !slices.Contains(f.done, f.tag); n++ {
		f.pass(10 * time.Millisecond)
	}
	if !slices.Contains(f.done, f.tag) {
		f.t.Fatal("the invalidation is never complete")
	}
	f.rec = message.Record{Key: watched, Version: message.Version{Term: 1, Seq: f.tag}, Value: val}
	f.carry("root", root.Resume(f.now, watched))
}

// serves looks whether all nodes serve what the root holds.
func (f *forest) serves(what string) {
	f.t.Helper()
	for name, n := range f.nodes {
		got, ok := n.Get(f.now, watched)
		if !ok || got.Version != f.rec.Version || !bytes.Equal(plain(f.t, got.Value), plain(f.t, f.rec.Value)) {
			f.t.Errorf("%s: %s serves %v %v, the root %v", what, name, got.Version, ok, f.rec.Version)
		}
	}
}

func plain(t *testing.T, val []byte) []byte {
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
	p := fleetconfig.Plan{ID: fmt.Sprintf("%032x", n*7919), Version: uint64(n), Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}}}
	for i := range count {
		give := 3000
		if i == count/2 {
			give += n
		}
		raw := fmt.Sprintf(`{"name":"r-%07x","host":"host%05x.example","prefix":"/%06x/","kind":"streaming","give_up":%d,"aim":400,"urgency":0,"service":"m","tries":2}`, i*7919, i*104729, i*31, give)
		p.Routes = append(p.Routes, fleetconfig.Route{Name: fmt.Sprintf("r-%07x", i*7919), Host: fmt.Sprintf("host%05x.example", i*104729), Prefix: fmt.Sprintf("/%06x/", i*31), Kind: fleetconfig.Safe, GiveUpMillis: give, Services: []fleetconfig.Share{{Service: "m", Weight: 1}}, Raw: json.RawMessage(raw)})
	}
	b, err := fleetconfig.EncodePlan(p)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// counting counts the patches that are made.
type counting struct {
	fleetconfig.Codec
	made *int
}

// Patch counts.
func (c counting) Patch(from, to []byte) []byte {
	*c.made++
	return c.Codec.Patch(from, to)
}

func all(c lease.Codec, names ...string) map[string]lease.Codec {
	out := map[string]lease.Codec{}
	for _, name := range names {
		out[name] = c
	}
	return out
}

var zone = map[string]string{"relay": "root", "leaf-1": "relay", "leaf-2": "relay", "leaf-3": "relay"}

// A change costs each daemon what it changes: at most three times the change and 200
// bytes, of a plan of 84 routes and of 1,500; made once, at the root.
func TestAChangeIsSentAsAPatch(t *testing.T) {
	for _, count := range []int{84, 1500} {
		made := 0
		f := plant(t, all(counting{made: &made}, "root", "relay", "leaf-1", "leaf-2", "leaf-3"), lease.MinPatchedLength, zone)
		f.write(routes(t, count, 0))
		f.pass(time.Second)
		f.serves("at first")
		whole := f.bytes["leaf-1"]
		const change = 170 // the item that changes, as its operator sends it
		for n := 1; n <= 5; n++ {
			was := made
			clear(f.bytes)
			clear(f.whole)
			f.write(routes(t, count, n))
			f.pass(500 * time.Millisecond)
			f.serves(fmt.Sprintf("change %d", n))
			if made-was != 1 {
				t.Errorf("%d routes: a change was made into %d patches", count, made-was)
			}
			for _, name := range []string{"relay", "leaf-1", "leaf-2", "leaf-3"} {
				if f.bytes[name] > 3*change+200 || f.whole[name] > 0 {
					t.Errorf("%d routes, change %d: %s is sent %d bytes, %d records whole", count, n, name, f.bytes[name], f.whole[name])
				}
			}
		}
		t.Logf("%d routes: %d bytes to a daemon at first, %d for a change", count, whole, f.bytes["leaf-1"])
	}
}

// A daemon that was away for some changes gets them in a row, one that was away for
// more than are remembered gets the whole.
func TestAReturningDaemonGetsPatchesInARow(t *testing.T) {
	for _, x := range []struct{ missed, whole int }{{1, 0}, {20, 0}, {40, 1}} {
		f := plant(t, all(fleetconfig.Codec{}, "root", "relay", "leaf-1", "leaf-2", "leaf-3"), lease.MinPatchedLength, zone)
		f.write(routes(t, 300, 0))
		f.pass(time.Second)
		away := f.nodes["leaf-1"]
		delete(f.nodes, "leaf-1")
		f.pass(2 * bounds.VolumeLease)
		for n := 1; n <= x.missed; n++ {
			f.write(routes(t, 300, n))
			f.pass(20 * time.Millisecond)
		}
		clear(f.whole)
		f.nodes["leaf-1"] = away
		f.pass(2 * time.Second)
		f.serves(fmt.Sprintf("%d changes missed", x.missed))
		if f.whole["leaf-1"] != x.whole {
			t.Errorf("%d changes missed: %d records whole", x.missed, f.whole["leaf-1"])
		}
	}
}

// A patch that is spoilt on its way is no record: the whole is asked for, and nothing
// else is ever served.
func TestACorruptPatchIsNotServed(t *testing.T) {
	f := plant(t, all(fleetconfig.Codec{}, "root", "relay", "leaf-1", "leaf-2", "leaf-3"), lease.MinPatchedLength, zone)
	f.write(routes(t, 300, 0))
	f.pass(time.Second)
	for n, spoil := range []func(l *message.Patch){
		func(l *message.Patch) { l.Delta = l.Delta[:len(l.Delta)/2] },
		func(l *message.Patch) { l.Delta[len(l.Delta)-1] ^= 1 },
		func(l *message.Patch) { l.From.Seq += 7 },
		func(l *message.Patch) { l.To.Seq += 7 },
	} {
		hit := 0
		f.spoil = func(to string, m *message.Message) {
			for i := range m.Records {
				if to == "leaf-1" && len(m.Records[i].Patches) > 0 && hit == 0 {
					hit++
					m.Records = slices.Clone(m.Records)
					list := slices.Clone(m.Records[i].Patches)
					list[0].Delta = bytes.Clone(list[0].Delta)
					spoil(&list[0])
					m.Records[i].Patches = list
				}
			}
		}
		clear(f.whole)
		f.write(routes(t, 300, n+1))
		f.pass(2 * time.Second)
		if f.serves(fmt.Sprintf("spoilt, %d", n)); hit != 1 {
			t.Errorf("%d: nothing was spoilt", n)
		}
		f.spoil = nil
	}
}

// Parents and children of a build that knows of no patches are sent, and send, what
// is whole.
func TestABuildWithoutPatchesGetsWholeRecords(t *testing.T) {
	for _, old := range []string{"root", "relay", "leaf-1"} {
		codecs := all(fleetconfig.Codec{}, "root", "relay", "leaf-1", "leaf-2", "leaf-3")
		delete(codecs, old)
		f := plant(t, codecs, lease.MinPatchedLength, zone)
		for n := range 4 {
			f.write(routes(t, 300, n))
			f.pass(time.Second)
			f.serves(old + " is of an older build")
		}
	}
}

// A record that is asked for anew before its lease ends isn't sent again.
func TestARenewedRecordIsNotSentAgain(t *testing.T) {
	f := plant(t, all(fleetconfig.Codec{}, "root", "relay", "leaf-1", "leaf-2", "leaf-3"), lease.MinPatchedLength, zone)
	f.write(routes(t, 300, 0))
	f.pass(time.Second)
	clear(f.bytes)
	f.pass(bounds.ObjectLease)
	f.serves("an object lease later")
	for name, n := range f.bytes {
		if n > 600 {
			t.Errorf("%s is sent %d bytes of records in an object lease", name, n)
		}
	}
}

// broken applies nothing.
type broken struct{ fleetconfig.Codec }

// Apply fails.
func (broken) Apply(_, _ []byte) ([]byte, error) { return nil, errors.New("can't") }

// A daemon that can't apply any patch serves all the same: it gets the whole each time.
func TestADaemonThatCannotApplyPatchesGetsWholeRecords(t *testing.T) {
	codecs := all(fleetconfig.Codec{}, "root", "relay", "leaf-1", "leaf-2", "leaf-3")
	codecs["leaf-2"], codecs["relay"] = broken{}, broken{}
	f := plant(t, codecs, lease.MinPatchedLength, zone)
	for n := range 5 {
		f.write(routes(t, 300, n))
		f.pass(time.Second)
		f.serves("a codec that fails")
	}
}
