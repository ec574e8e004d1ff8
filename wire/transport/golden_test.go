package transport

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"mulleinmast/wire/message"
)

// update regenerates the golden file, which was written by the build before issue 29.
// Builds that exchange messages must agree on its contents, so regenerate it only for an
// intended change of a frame.
var update = flag.Bool("update", false, "write testdata/frames.txt from this build")

var goldenFrames = filepath.Join("testdata", "frames.txt")

// fillValue sets each field of a value, recursively, to a different value. The values
// depend on the order of the fields but not on their names. Slices get one element.
func fillValue(t *testing.T, v reflect.Value, counter *int) {
	t.Helper()
	*counter++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillValue(t, v.Field(i), counter)
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes(fmt.Appendf(nil, "b%d", *counter))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillValue(t, v.Index(0), counter)
	case reflect.String:
		v.SetString(fmt.Sprint("s", *counter))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*counter))
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(*counter))
	default:
		t.Fatalf("no value for a field of type %v", v.Type())
	}
}

// emptyElements sets each slice of a value to one zero element.
func emptyElements(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			emptyElements(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
	}
}

func fullMessage(t *testing.T, kind message.Kind) (m message.Message) {
	t.Helper()
	counter := 0
	fillValue(t, reflect.ValueOf(&m).Elem(), &counter)
	m.Kind = kind
	return m
}

// goldenFrame is one frame with its name in the golden file, and the message that the
// frame must decode to, encoded as a complete frame.
type goldenFrame struct {
	name        string
	frame, read []byte
}

// currentFrames returns the frames that this build encodes, in the order of the golden
// file. For each kind of message it has the complete frame of a message with every
// field set, and the frames of such messages sent one after another on a connection. The
// "forms" cover the special cases of compact frames, and messages with few fields set.
func currentFrames(t *testing.T) (frames []goldenFrame) {
	t.Helper()
	add := func(name string, frame []byte, m message.Message) {
		complete, err := EncodeFrame(m)
		if err != nil {
			t.Fatal(name, err)
		}
		frames = append(frames, goldenFrame{name, frame, complete})
	}
	addComplete := func(name string, m message.Message) {
		b, err := EncodeFrame(m)
		if err != nil {
			t.Fatal(name, err)
		}
		add(name, b, m)
	}
	// addConnection encodes messages one after another for one connection.
	addConnection := func(name string, compact bool, list ...message.Message) {
		var codec frameCodec
		for i, m := range list {
			b, err := codec.encode(m, compact)
			if err != nil {
				t.Fatal(name, err)
			}
			m.MaxFrameVersion = message.CompactFrameVersion
			add(fmt.Sprint(name, "/", i), b, m)
		}
	}
	for kind := message.Kind(1); kind.IsKnown(); kind++ {
		name := fmt.Sprintf("%d %s", kind, kind)
		full := fullMessage(t, kind)
		addComplete(name+" whole", full)
		addConnection(name+" short", true, full, full)
	}
	full := fullMessage(t, 1)
	senderEpoch, recipientEpoch, otherRecipient, withoutRecipient := full, full, full, full
	senderEpoch.VolumeEpoch.Ident = full.From
	recipientEpoch.VolumeEpoch.Ident = full.To
	otherRecipient.To = "another"
	withoutRecipient.To = ""
	addConnection("forms short", true, full, senderEpoch, recipientEpoch, otherRecipient, otherRecipient,
		withoutRecipient, withoutRecipient, full)
	addConnection("forms whole", false, full, senderEpoch)
	otherBase := full
	otherBase.Epoch++
	addConnection("forms base", true, full, otherBase, otherBase)
	reserved := full
	reserved.VolumeEpoch.Ident = "-"
	reserved.To = "-"
	addConnection("forms reserved", true, full, reserved)
	reserved.VolumeEpoch.Ident, reserved.To = "f", full.To
	addConnection("forms reserved sender", true, full, reserved)
	reserved.VolumeEpoch.Ident = "t"
	addConnection("forms reserved addressee", true, full, reserved)
	var bare message.Message
	bare.Kind = 1
	addComplete("forms nothing set", bare)
	emptyElements(reflect.ValueOf(&bare).Elem())
	addComplete("forms empty elements", bare)
	return frames
}

// TestFramesMatchEarlierBuilds pins the encoded frames of each kind of message, with the
// number and name of the kind.
func TestFramesMatchEarlierBuilds(t *testing.T) {
	frames := currentFrames(t)
	if *update {
		writeGoldenFrames(t, frames)
	}
	text, err := os.ReadFile(goldenFrames)
	if err != nil {
		t.Fatal(err)
	}
	golden := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(golden) != len(frames) {
		t.Fatalf("got %d frames, the golden file has %d", len(frames), len(golden))
	}
	for i, f := range frames {
		if line := f.name + ": " + hex.EncodeToString(f.frame); line != golden[i] {
			t.Errorf("%s\ngot  %s\nwant %s", f.name, line, golden[i])
		}
	}
}

func writeGoldenFrames(t *testing.T, frames []goldenFrame) {
	t.Helper()
	var text strings.Builder
	for _, f := range frames {
		fmt.Fprintf(&text, "%s: %x\n", f.name, f.frame)
	}
	if err := os.MkdirAll(filepath.Dir(goldenFrames), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenFrames, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestGoldenFramesDecode decodes the golden frames, with one codec for each connection, and
// expects the message that was encoded in each.
func TestGoldenFramesDecode(t *testing.T) {
	text, err := os.ReadFile(goldenFrames)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string][]byte{}
	for _, f := range currentFrames(t) {
		want[f.name] = f.read
	}
	var codec frameCodec
	connection, read := "", 0
	for line := range strings.Lines(string(text)) {
		name, encoded, _ := strings.Cut(strings.TrimSpace(line), ": ")
		frame, err := hex.DecodeString(encoded)
		if err != nil {
			t.Fatal(name, err)
		}
		if prefix, _, _ := strings.Cut(name, "/"); prefix != connection {
			connection, codec = prefix, frameCodec{}
		}
		m, size, err := codec.read(bytes.NewReader(frame))
		if err != nil || size != len(frame) {
			t.Errorf("%s: read %d bytes: %v", name, size, err)
			continue
		}
		complete, err := EncodeFrame(m)
		if err != nil || !bytes.Equal(complete, want[name]) {
			t.Errorf("%s: decoded as %+v: %v", name, m, err)
		}
		read++
	}
	if read != len(want) {
		t.Errorf("decoded %d of %d frames", read, len(want))
	}
}
