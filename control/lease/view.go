package lease

import (
	"time"

	"mulleinmast/wire/message"
)

// KidView is what a node knows of one child.
type KidView struct {
	Replica message.Replica `json:"seat"`
	Left    int64           `json:"left_ms"`
	Objs    int             `json:"objs"`
	Listed  bool            `json:"listed"`
}

// View is the node as the query shell shows it.
type View struct {
	Partition int               `json:"part"`
	Root      bool              `json:"root"`
	Parent    message.Replica   `json:"parent"`
	Left      int64             `json:"left_ms"`
	Objs      map[string]string `json:"objs"`
	Kids      []KidView         `json:"kids"`
	Sweeps    []string          `json:"sweeps,omitempty"`
}

// View snapshots the node.
//
// Example: json.Marshal(n.View(now))
func (n *Node) View(now time.Duration) View {
	v := View{Partition: n.partition, Root: n.root, Parent: n.parent, Left: (n.VolumeExpiry() - now).Milliseconds(), Objs: map[string]string{}, Sweeps: sorted(n.sweeps)}
	for key, c := range n.objs {
		v.Objs[key] = c.rec.Version.String()
	}
	for _, id := range sorted(n.kids) {
		k := n.kids[id]
		v.Kids = append(v.Kids, KidView{k.replica, (k.till - now).Milliseconds(), len(k.objs), k.listed})
	}
	return v
}
