package lease

import (
	"time"

	"mulleinmast/wire/message"
)

// ChildView is a snapshot of one child as its parent sees it.
type ChildView struct {
	Replica     message.Replica `json:"seat"`
	LeaseLeft   int64           `json:"left_ms"` // remaining volume lease in ms; negative if expired
	Records     int             `json:"objs"`    // object leases, including expired ones
	Unreachable bool            `json:"listed"`  // on the unreachable list
}

// View is a snapshot of a node for the query shell.
type View struct {
	Partition     int               `json:"part"`
	Root          bool              `json:"root"`
	Parent        message.Replica   `json:"parent"`
	LeaseLeft     int64             `json:"left_ms"` // remaining volume lease of this node in ms; negative if expired
	Records       map[string]string `json:"objs"`    // key -> version of the cached records
	Children      []ChildView       `json:"kids"`
	Invalidations []string          `json:"sweeps,omitempty"` // keys of the invalidations in progress
}

// View returns a snapshot of the node.
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
