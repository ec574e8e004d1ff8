package lease

import (
	"time"

	"mulleinmast/wire/message"
)

// ChildView is what a node knows of one child.
type ChildView struct {
	Replica     message.Replica `json:"seat"`
	LeaseLeft   int64           `json:"left_ms"` // of its volume lease, in ms; negative: lapsed
	Records     int             `json:"objs"`    // under object leases, lapsed ones included
	Unreachable bool            `json:"listed"`  // on the unreachable list
}

// View is the node as the query shell shows it.
type View struct {
	Partition     int               `json:"part"`
	Root          bool              `json:"root"`
	Parent        message.Replica   `json:"parent"`
	LeaseLeft     int64             `json:"left_ms"` // of its own volume lease, in ms; negative: lapsed
	Records       map[string]string `json:"objs"`    // key -> version, of the records that it holds
	Children      []ChildView       `json:"kids"`
	Invalidations []string          `json:"sweeps,omitempty"` // keys that are being withdrawn
}

// View snapshots the node.
//
// Example: json.Marshal(n.View(now))
func (n *Node) View(now time.Duration) View {
	v := View{
		Partition:     n.partition,
		Root:          n.root.active,
		Parent:        n.upstream.parent,
		LeaseLeft:     (n.VolumeExpiry() - now).Milliseconds(),
		Records:       map[string]string{},
		Invalidations: sortedKeys(n.invalidations.byKey),
	}
	for key, cached := range n.records.cached {
		v.Records[key] = cached.record.Version.String()
	}
	for _, id := range sortedKeys(n.downstream.children) {
		c := n.downstream.children[id]
		v.Children = append(v.Children, ChildView{
			Replica:     c.replica,
			LeaseLeft:   (c.volumeExpiry - now).Milliseconds(),
			Records:     len(c.objectExpiry),
			Unreachable: c.unreachable,
		})
	}
	return v
}
