package message

import (
	"encoding/json"
	"reflect"
	"testing"
)

// TestJSONMatchesEarlierBuilds pins the JSON of the types used on disk, in answers to
// operators and in state dumps. The Go literals are unkeyed, so a new field doesn't
// compile until it is covered here.
func TestJSONMatchesEarlierBuilds(t *testing.T) {
	version := Version{7, 9}
	replica := Replica{"a", "10.0.0.1:7"}
	const (
		versionJSON = `{"Term":7,"Seq":9}`
		replicaJSON = `{"Ident":"a","Addr":"10.0.0.1:7"}`
		savedJSON   = `{"Epoch":5,"Saves":6}`
	)
	for _, c := range []struct {
		name  string
		value any
		want  string
	}{
		{"version", version, versionJSON},
		{"replica", replica, replicaJSON},
		{
			"group",
			Group{3, []Replica{replica, replica}, []Replica{replica}},
			`{"Num":3,"Seats":[` + replicaJSON + `,` + replicaJSON + `],"Next":[` + replicaJSON + `]}`,
		},
		{"group without a change", Group{3, []Replica{replica}, nil}, `{"Num":3,"Seats":[` + replicaJSON + `],"Next":null}`},
		{"save point", SavePoint{5, 6}, savedJSON},
		{
			"incarnation of a peer",
			PeerIncarnation{"b", 8, SavePoint{5, 6}},
			`{"Ident":"b","Epoch":8,"State":` + savedJSON + `}`,
		},
		{"incarnation of a peer without a save point", PeerIncarnation{"b", 8, SavePoint{}}, `{"Ident":"b","Epoch":8}`},
		{
			"member",
			Member{"a", 2, "10.0.0.1:7", "10.0.0.1:80", "z", true, true, true, "26498f9"},
			`{"ident":"a","epoch":2,"addr":"10.0.0.1:7","web":"10.0.0.1:80","cell":"z",` +
				`"disk":true,"ready":true,"empty":true,"build":"26498f9"}`,
		},
		{"leadership", Leadership{3, 4, replica}, `{"part":3,"num":4,"seat":` + replicaJSON + `}`},
		{"volume epoch", VolumeEpoch{"a", 2, 7}, `{"Ident":"a","Epoch":2,"Term":7}`},
		{
			"record",
			Record{"k", version, []byte("v"), true, true, []Patch{{version, version, []byte("p")}}},
			`{"Key":"k","Ver":` + versionJSON + `,"Val":"dg==","Dead":true,"Held":true,` +
				`"Links":[{"From":` + versionJSON + `,"To":` + versionJSON + `,"Patch":"cA=="}]}`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := json.Marshal(c.value)
			if err != nil || string(got) != c.want {
				t.Errorf("got  %s, %v\nwant %s", got, err, c.want)
			}
			read := reflect.New(reflect.TypeOf(c.value))
			err = json.Unmarshal([]byte(c.want), read.Interface())
			if err != nil || !reflect.DeepEqual(read.Elem().Interface(), c.value) {
				t.Errorf("%s decodes as %+v, %v", c.want, read.Elem().Interface(), err)
			}
		})
	}
}
