package message

import (
	"reflect"
	"testing"
)

// setDistinct sets each field of a value, recursively, to a different value.
func setDistinct(v reflect.Value, next *uint64) {
	*next++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			setDistinct(v.Field(i), next)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			setDistinct(v.Index(i), next)
		}
	case reflect.String:
		v.SetString(string(rune('a' + *next%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(*next % 200)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	default:
		panic("no value for a field of kind " + v.Kind().String())
	}
}

// framed encodes a typed message with all fields set as a frame, and decodes that frame.
func framed[T interface{ Message(partition int) Message }](read func(Message) T) (sent, got any, m Message) {
	var v T
	next := uint64(0)
	setDistinct(reflect.ValueOf(&v).Elem(), &next)
	m = v.Message(5)
	return v, read(m), m
}

// TestGroupMessagesDecodeAsEncoded guards against a field that the frame doesn't carry: the receiver would decide
// without it.
func TestGroupMessagesDecodeAsEncoded(t *testing.T) {
	for kind, frame := range map[Kind]func() (sent, got any, m Message){
		KindRequestVote:    func() (any, any, Message) { return framed(Message.AsVoteRequest) },
		KindGrantVote:      func() (any, any, Message) { return framed(Message.AsVoteGrant) },
		KindRejectVote:     func() (any, any, Message) { return framed(Message.AsVoteRejection) },
		KindAbandonTerm:    func() (any, any, Message) { return framed(Message.AsAbandonTerm) },
		KindHeartbeat:      func() (any, any, Message) { return framed(Message.AsHeartbeat) },
		KindHeartbeatAck:   func() (any, any, Message) { return framed(Message.AsHeartbeatAck) },
		KindInstallState:   func() (any, any, Message) { return framed(Message.AsInstallState) },
		KindStateInstalled: func() (any, any, Message) { return framed(Message.AsStateInstalled) },
		KindStateMismatch:  func() (any, any, Message) { return framed(Message.AsStateMismatch) },
		KindReplicate:      func() (any, any, Message) { return framed(Message.AsReplicate) },
		KindReplicated:     func() (any, any, Message) { return framed(Message.AsReplicated) },
	} {
		t.Run(kind.String(), func(t *testing.T) {
			sent, got, m := frame()
			if !reflect.DeepEqual(got, sent) {
				t.Errorf("got %+v, want %+v", got, sent)
			}
			if m.Kind != kind || m.Partition != 5 {
				t.Errorf("frame has kind %v and partition %d, want partition 5", m.Kind, m.Partition)
			}
		})
	}
}

// TestGroupMessageOpsMatchEarlierBuilds pins the Op values of frames, which earlier builds read.
func TestGroupMessageOpsMatchEarlierBuilds(t *testing.T) {
	for want, m := range map[string]Message{
		"probe":   VoteRequest{PreVote: true}.Message(0),
		"parting": HeartbeatAck{Terminating: true}.Message(0),
		"compare": InstallState{Purpose: InstallForRepair}.Message(0),
		"whole":   InstallState{Purpose: InstallForJoin}.Message(0),
		"":        InstallState{Purpose: InstallForTerm}.Message(0),
	} {
		if m.Op != want {
			t.Errorf("%v has Op %q, want %q", m.Kind, m.Op, want)
		}
	}
	if op := (VoteGrant{PreVote: true}).Message(0).Op; op != "probe" {
		t.Errorf("pre-vote grant has Op %q, want \"probe\"", op)
	}
}

func TestIncarnationNoticeDecodesAsEncoded(t *testing.T) {
	var notice IncarnationNotice
	next := uint64(0)
	setDistinct(reflect.ValueOf(&notice).Elem(), &next)
	m := notice.Message(5)
	m.Epoch, m.Saves, m.State = 7, 8, SavePoint{Epoch: 9, Saves: 10}
	m.Peers = []PeerIncarnation{{Ident: "b", Epoch: 11}}
	want := IncarnationClaims{
		Epoch: 7, StartState: m.State, Saves: 8, KnownEpoch: notice.KnownEpoch, KnownState: notice.KnownState,
		Group: notice.Group, Peers: m.Peers, IsNotice: true,
	}
	if got := m.IncarnationClaims(); !reflect.DeepEqual(got, want) {
		t.Errorf("claims are %+v, want %+v", got, want)
	}
	if (Heartbeat{Round: 3}).Message(0).IncarnationClaims().IsNotice {
		t.Error("heartbeat is treated as an incarnation notice")
	}
}
