package quorum

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// fullMeta returns a Meta with every field set, so that a change of any stored name is
// detected.
func fullMeta() Meta {
	return Meta{
		VotedTerm: 11, VotedFor: "b", VotedForEpoch: 2<<32 + 5, CandidateTerm: 12, LastComplete: 10,
		Group: message.Group{
			Number:   3<<16 + 1,
			Replicas: []message.Replica{{Ident: "a", Addr: "10.0.0.1:7"}, {Ident: "b", Addr: "10.0.0.2:7"}},
			Next:     []message.Replica{{Ident: "a", Addr: "10.0.0.1:7"}, {Ident: "c", Addr: "10.0.0.3:7"}},
		},
		Incomplete: true,
		State:      message.SavePoint{Epoch: 4<<32 + 1, Saves: 20},
		History:    []message.SavePoint{{Epoch: 2<<32 + 9, Saves: 3}, {Epoch: 3<<32 + 8, Saves: 7}},
		Peers: []message.PeerIncarnation{
			{Ident: "b", Epoch: 2<<32 + 5, State: message.SavePoint{Epoch: 2<<32 + 5, Saves: 41}},
			{Ident: "c", Epoch: 1<<32 + 6},
		},
	}
}

// fullMetaStored is how every build so far stored fullMeta.
const fullMetaStored = `{"Promised":11,"To":"b","ToEpoch":8589934597,"Tried":12,"Set":10,` +
	`"Group":{"Num":196609,"Seats":[{"Ident":"a","Addr":"10.0.0.1:7"},{"Ident":"b","Addr":"10.0.0.2:7"}],` +
	`"Next":[{"Ident":"a","Addr":"10.0.0.1:7"},{"Ident":"c","Addr":"10.0.0.3:7"}]},"Short":true,` +
	`"State":{"Epoch":17179869185,"Saves":20},` +
	`"History":[{"Epoch":8589934601,"Saves":3},{"Epoch":12884901896,"Saves":7}],` +
	`"Peers":[{"Ident":"b","Epoch":8589934597,"State":{"Epoch":8589934597,"Saves":41}},{"Ident":"c","Epoch":4294967302}]}`

// emptyMetaStored is how every build so far stored an empty Meta.
var emptyMetaStored = strings.ReplaceAll(
	`{"Promised":0,"To":"","ToEpoch":0,"Tried":0,"Set":0,"Group":{"Num":0,"Seats":[],"Next":[]}}`, "[]", "null")

// Stored field names must not change: a vote that a later build can't read is lost.
func TestMetaKeepsStoredFieldNames(t *testing.T) {
	for name, c := range map[string]struct {
		meta   Meta
		stored string
	}{"every field set": {fullMeta(), fullMetaStored}, "empty": {Meta{}, emptyMetaStored}} {
		t.Run(name, func(t *testing.T) {
			raw, err := json.Marshal(c.meta)
			if err != nil {
				t.Fatal(err)
			}
			if string(raw) != c.stored {
				t.Errorf("stored as\n%s\nwant\n%s", raw, c.stored)
			}
			var read Meta
			if err := json.Unmarshal([]byte(c.stored), &read); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(read, c.meta) {
				t.Errorf("read as %+v, want %+v", read, c.meta)
			}
		})
	}
}

// The checksums are stored with the state, so they must not change. A build that computed
// them differently would treat an intact copy as damaged.
func TestMetaChecksumsMatchEarlierBuilds(t *testing.T) {
	records := digest.NewRecords()
	records.Put(message.Record{Key: "plan/now", Version: message.Version{Term: 9, Seq: 4}, Value: []byte("value")})
	records.Put(message.Record{Key: "server/7", Version: message.Version{Term: 10, Seq: 1}, Deleted: true})
	votable := fullMeta()
	votable.Incomplete = false
	for name, c := range map[string]struct {
		meta         Meta
		records      *digest.Records
		sum, pastSum uint64
	}{
		"every field set": {fullMeta(), records, 6848617890316624777, 4339655454683573597},
		"not incomplete":  {votable, records, 5275727718337320453, 4339655454683573597},
		"empty":           {Meta{}, digest.NewRecords(), 13389207865668415525, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.meta.Sum(c.records); got != c.sum {
				t.Errorf("Sum %d, want %d", got, c.sum)
			}
			if got := c.meta.IncarnationsSum(); got != c.pastSum {
				t.Errorf("IncarnationsSum %d, want %d", got, c.pastSum)
			}
		})
	}
}
