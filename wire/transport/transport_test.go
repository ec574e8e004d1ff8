package transport

import (
	"bytes"
	"encoding/binary"
	"math/rand"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mulleinmast/wire/message"
)

func sample() message.Message {
	return message.Message{
		Kind: message.KindLeaseList, Fleet: "f", Partition: 3, From: "a", Epoch: 2, Addr: "10.0.0.1:1", To: "b", RequestID: 7, VolumeEpoch: message.VolumeEpoch{Ident: "b", Epoch: 1, Term: 9},
		Records: []message.Record{{Key: "plan/now", Version: message.Version{Term: 4, Seq: 2}, Value: []byte("x")}}, Keys: []string{"k"}, Group: message.Group{Number: 1, Replicas: []message.Replica{{Ident: "a", Addr: "q"}}},
	}
}

func TestBadFramesAreNamed(t *testing.T) {
	good, err := EncodeFrame(sample())
	if err != nil {
		t.Fatal(err)
	}
	n, err := ReadFrame(bytes.NewReader(good))
	if err != nil || n.Records[0].Key != "plan/now" || n.VolumeEpoch.Term != 9 {
		t.Fatalf("round trip: %+v %v", n, err)
	}
	odd := sample()
	odd.Kind = 99
	unknown, _ := EncodeFrame(odd)
	version := append([]byte(nil), good...)
	version[0] = 7
	long := append([]byte(nil), good...)
	binary.BigEndian.PutUint32(long[1:], MaxFrameSize+1)
	extra := append(append([]byte(nil), good...), 0xc0)
	binary.BigEndian.PutUint32(extra[1:], uint32(len(extra)-5))
	for what, b := range map[string][]byte{"cut short": good[:len(good)-4], "unknown kind 99": unknown, "wire version 7": version, "at most": long, "left over": extra} {
		if _, err := ReadFrame(bytes.NewReader(b)); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: got %v", what, err)
		}
	}
}

// One byte of a frame is changed at a time: it is read or refused, never more.
func TestMutatedFrames(t *testing.T) {
	good, _ := EncodeFrame(sample())
	rng := rand.New(rand.NewSource(1))
	refused := 0
	for i := 5; i < len(good); i++ {
		for k := 0; k < 8; k++ {
			b := append([]byte(nil), good...)
			b[i] ^= byte(1 + rng.Intn(255))
			if _, err := ReadFrame(bytes.NewReader(b)); err != nil {
				refused++
			}
		}
	}
	if refused == 0 {
		t.Error("no mutation was refused")
	}
}

// A connection whose bytes nobody acknowledges is given up after PeerTimeout: the
// kernel doubles its pauses between retries, so that one which outlasted a cut
// of seven seconds would be mute for six more after it has healed.
func TestAnUnacknowledgedConnectionIsGivenUp(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	for _, dead := range []time.Duration{0, 1200 * time.Millisecond} {
		line := &Transport{PeerTimeout: dead}
		c, err := line.dialer().Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		raw, err := c.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		got, fault := 0, error(nil)
		if err := raw.Control(func(fd uintptr) { got, fault = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }); err != nil || fault != nil {
			t.Fatal(err, fault)
		}
		if got != int(dead.Milliseconds()) {
			t.Errorf("given up after %d ms, expected %v", got, dead)
		}
		_ = c.Close()
	}
}
