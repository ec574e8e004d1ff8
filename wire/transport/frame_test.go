package transport

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math/rand"
	"strings"
	"testing"

	"mulleinmast/wire/message"
)

func sampleMessage() message.Message {
	return message.Message{
		Kind: message.KindLeaseList, Fleet: "f", Partition: 3,
		From: "a", Epoch: 2, Addr: "10.0.0.1:1", To: "b", RequestID: 7,
		VolumeEpoch: message.VolumeEpoch{Ident: "b", Epoch: 1, Term: 9},
		Records:     []message.Record{{Key: "plan/now", Version: message.Version{Term: 4, Seq: 2}, Value: []byte("x")}},
		Keys:        []string{"k"},
		Group:       message.Group{Number: 1, Replicas: []message.Replica{{Ident: "a", Addr: "q"}}},
	}
}

func TestReadFrameRejectsInvalidFrames(t *testing.T) {
	good, err := EncodeFrame(sampleMessage())
	if err != nil {
		t.Fatal(err)
	}
	m, err := ReadFrame(bytes.NewReader(good))
	if err != nil || m.Records[0].Key != "plan/now" || m.VolumeEpoch.Term != 9 {
		t.Fatalf("round trip: %+v %v", m, err)
	}
	unknownMessage := sampleMessage()
	unknownMessage.Kind = 99
	unknown, _ := EncodeFrame(unknownMessage)
	otherVersion := bytes.Clone(good)
	otherVersion[0] = 7
	tooLong := bytes.Clone(good)
	binary.BigEndian.PutUint32(tooLong[1:], MaxFrameSize+1)
	extraByte := append(bytes.Clone(good), 0xc0)
	binary.BigEndian.PutUint32(extraByte[1:], uint32(len(extraByte)-headerSize))
	compact := bytes.Clone(good)
	compact[0] = message.CompactFrameVersion
	for _, c := range []struct {
		name, text string
		frame      []byte
		is         error
	}{
		{"truncated", "bytes: frame truncated", good[:len(good)-4], ErrTruncated},
		{"unknown kind", "kind 99: unknown message kind", unknown, ErrUnknownKind},
		{"other version", "wire version 7", otherVersion, ErrFrameVersion},
		{"too long", "exceeds the limit", tooLong, ErrFrameSize},
		{"extra byte", "trailing bytes", extraByte, ErrMalformed},
		{"compact without a base", "base", compact, ErrNoBaseFrame},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ReadFrame(bytes.NewReader(c.frame))
			if err == nil || !strings.Contains(err.Error(), c.text) || !errors.Is(err, c.is) || !Error.Has(err) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestMutatedFrames changes one byte of a frame at a time. ReadFrame must decode or reject
// the result without a panic.
func TestMutatedFrames(t *testing.T) {
	good, _ := EncodeFrame(sampleMessage())
	rng := rand.New(rand.NewSource(1))
	rejected := 0
	for i := headerSize; i < len(good); i++ {
		for k := 0; k < 8; k++ {
			b := append([]byte(nil), good...)
			b[i] ^= byte(1 + rng.Intn(255))
			if _, err := ReadFrame(bytes.NewReader(b)); err != nil {
				rejected++
			}
		}
	}
	if rejected == 0 {
		t.Error("no mutated frame was rejected")
	}
}
