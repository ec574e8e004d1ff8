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

// update has the golden file written anew. It was written by the build before issue
// 29; daemons of builds that speak to one another must agree on it, so it is written
// anew only where a frame is meant to change.
var update = flag.Bool("update", false, "write testdata/frames.txt from this build")

var goldenFrames = filepath.Join("testdata", "frames.txt")

// fillValue sets all that a value holds, each to something of its own, in the order
// of the fields and whatever they are called; a slice gets one element.
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

// emptyElements gives each slice of a value one element in which nothing is set.
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

// goldenFrame is one frame under the name that the golden file has for it, and the
// message that its reader must get, as a whole frame.
type goldenFrame struct {
	name        string
	frame, read []byte
}

// framesOfThisBuild lists the frames that the golden file holds, in its order.
// Of each kind: the frame that Pack makes of a message with every field set, and
// what the second, third, ... message of a connection is packed into.
func framesOfThisBuild(t *testing.T) (frames []goldenFrame) {
	t.Helper()
	add := func(name string, frame []byte, m message.Message) {
		whole, err := EncodeFrame(m)
		if err != nil {
			t.Fatal(name, err)
		}
		frames = append(frames, goldenFrame{name, frame, whole})
	}
	packed := func(name string, m message.Message) {
		b, err := EncodeFrame(m)
		if err != nil {
			t.Fatal(name, err)
		}
		add(name, b, m)
	}
	// onConnection packs messages one after another for one connection.
	onConnection := func(name string, short bool, list ...message.Message) {
		var state frameCodec
		for i, m := range list {
			b, err := state.encode(m, short)
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
		packed(name+" whole", full)
		onConnection(name+" short", true, full, full)
	}
	full := fullMessage(t, 1)
	ofSender, ofAddressee, toAnother, toNobody := full, full, full, full
	ofSender.VolumeEpoch.Ident = full.From
	ofAddressee.VolumeEpoch.Ident = full.To
	toAnother.To = "another"
	toNobody.To = ""
	onConnection("forms short", true, full, ofSender, ofAddressee, toAnother, toAnother, toNobody, toNobody, full)
	onConnection("forms whole", false, full, ofSender)
	otherBase := full
	otherBase.Epoch++
	onConnection("forms base", true, full, otherBase, otherBase)
	noBase := full
	noBase.VolumeEpoch.Ident = "-"
	noBase.To = "-"
	onConnection("forms reserved", true, full, noBase)
	noBase.VolumeEpoch.Ident, noBase.To = "f", full.To
	onConnection("forms reserved sender", true, full, noBase)
	noBase.VolumeEpoch.Ident = "t"
	onConnection("forms reserved addressee", true, full, noBase)
	var bare message.Message
	bare.Kind = 1
	packed("forms nothing set", bare)
	emptyElements(reflect.ValueOf(&bare).Elem())
	packed("forms empty elements", bare)
	return frames
}

// TestFramesAreThoseOfEarlierBuilds pins the bytes of the frames of each kind of
// message, with the kind's number and name, and that each frame is read as the
// message that was packed.
func TestFramesAreThoseOfEarlierBuilds(t *testing.T) {
	frames := framesOfThisBuild(t)
	if *update {
		writeGoldenFrames(t, frames)
	}
	text, err := os.ReadFile(goldenFrames)
	if err != nil {
		t.Fatal(err)
	}
	golden := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(golden) != len(frames) {
		t.Fatalf("%d frames, the golden file has %d", len(frames), len(golden))
	}
	for i, f := range frames {
		if line := f.name + ": " + hex.EncodeToString(f.frame); line != golden[i] {
			t.Errorf("%s\nis  %s\nwas %s", f.name, line, golden[i])
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

// TestFramesOfEarlierBuildsAreRead reads the golden frames, those of one connection
// in their order, and expects the message that was packed into each.
func TestFramesOfEarlierBuildsAreRead(t *testing.T) {
	text, err := os.ReadFile(goldenFrames)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string][]byte{}
	for _, f := range framesOfThisBuild(t) {
		want[f.name] = f.read
	}
	var state frameCodec
	connection, read := "", 0
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), ": ")
		frame, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatal(name, err)
		}
		if of, _, _ := strings.Cut(name, "/"); of != connection {
			connection, state = of, frameCodec{}
		}
		m, size, err := state.read(bytes.NewReader(frame))
		if err != nil || size != len(frame) {
			t.Errorf("%s: %d bytes read, %v", name, size, err)
			continue
		}
		whole, err := EncodeFrame(m)
		if err != nil || !bytes.Equal(whole, want[name]) {
			t.Errorf("%s: read as %+v, %v", name, m, err)
		}
		read++
	}
	if read != len(want) {
		t.Errorf("%d frames of %d were read", read, len(want))
	}
}
