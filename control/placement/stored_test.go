package placement

import (
	"testing"

	"mulleinmast/control/internal/golden"
	"mulleinmast/wire/message"
)

func completeServerRecord() ServerRecord {
	return ServerRecord{
		Addr: "10.0.0.1:9000", Zone: "north", Capacity: 8, Role: Prefill, NextRole: Decode, Status: Leaving,
		Pairs: []string{"10.0.0.2:9000"},
	}
}

// Server records, and the messages between the controller, daemons and servers, keep their JSON encoding.
func TestStoredJSONEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, "server-record.json", completeServerRecord(), golden.Encoding[ServerRecord]{
		Encode: golden.JSON[ServerRecord]().Encode,
		Decode: func(value []byte) (ServerRecord, error) {
			record, _, err := ReadServerRecord(message.Record{Key: "k", Value: value})
			return record, err
		},
	})
	golden.Check(
		t, "usage.json",
		Usage{
			Active: 3, Queued: 2, UptimeMillis: 90000, Leaving: true, Warming: true,
			LinkMillis: map[string]int{"10.0.0.2:9000": 12},
		},
		golden.JSON[Usage](),
	)
	golden.Check(t, "demand.json", Demand{
		Service: "timetable", AckedShare: 7, Prefill: [10]int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, Decode: [10]int{10, 9, 8, 7, 6, 5, 4, 3, 2, 1},
		InFlight: map[string]int{"10.0.0.1:9000": 2}, Failures: map[string]int{"10.0.0.2:9000": 1}, PrefixHits: map[string]int{"10.0.0.3:9000": 4},
	}, golden.JSON[Demand]())
	golden.Check(
		t, "share.json", Share{Number: 1<<32 | 5, Length: 750000000, Slots: map[string]int{"10.0.0.1:9000": 4}},
		golden.JSON[Share](),
	)
	golden.Check(t, "order.json", Order{Role: Decode, Term: 4, Number: 17, Reason: "shift"}, golden.JSON[Order]())
	golden.Check(t, "row.json", Row{
		ServerRecord: completeServerRecord(), Service: "timetable", Active: 3, Utilization: 0.5, Failures: 1, Slots: 8, Granted: 4, Withdrawn: true,
	}, golden.JSON[Row]())
}

// Names used in stored data and in orders don't change.
func TestStoredNamesAreUnchanged(t *testing.T) {
	for name, want := range map[string]string{
		Prefill: "reader", Decode: "maker", Warming: "warming", Up: "up", Dark: "dark", Leaving: "leaving",
	} {
		if name != want {
			t.Errorf("stored name %q, expected %q", name, want)
		}
	}
}
