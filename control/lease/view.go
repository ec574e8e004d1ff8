package lease

import (
	"time"

	"mulleinmast/wire/message"
)

// ChildView is what a node knows of one child.
type ChildView struct {
	Replica     message.Replica `json:"seat"`
	LeaseLeft   int64           `json:"left_ms"`
	Records     int             `json:"objs"`
	Unreachable bool            `json:"listed"`
}

// View is the node as the query shell shows it.
type View struct {
	Partition     int               `json:"part"`
	Root          bool              `json:"root"`
	Parent        message.Replica   `json:"parent"`
	LeaseLeft     int64             `json:"left_ms"`
	Records       map[string]string `json:"objs"`
	Children      []ChildView       `json:"kids"`
	Invalidations []string          `json:"sweeps,omitempty"`
}

// View snapshots the node.
//
// Example: json.Marshal(n.View(now))
func (n *Node) View(now time.Duration) View {
	v := View{Partition: n.partition, Root: n.root, Parent: n.parent, LeaseLeft: (n.VolumeExpiry() - now).Milliseconds(), Records: map[string]string{}, Invalidations: sorted(n.sweeps)}
	for key, c := range n.objs {
		v.Records[key] = c.rec.Version.String()
	}
	for _, id := range sorted(n.kids) {
		k := n.kids[id]
		v.Children = append(v.Children, ChildView{k.replica, (k.till - now).Milliseconds(), len(k.objs), k.listed})
	}
	return v
}
