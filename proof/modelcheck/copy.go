package modelcheck

import (
	"reflect"
	"sync"
	"time"
	"unsafe"

	"mulleinmast/control/digest"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// State machines are copied by reflection, so that fields added to them are copied (and
// hashed) without a change here. The machines never modify messages and records in place;
// copies share them.

// shared are the types whose values copies share, since they are never modified in place.
var shared = map[reflect.Type]bool{
	reflect.TypeFor[message.Message]():     true,
	reflect.TypeFor[message.Envelope]():    true,
	reflect.TypeFor[message.Record]():      true,
	reflect.TypeFor[message.Group]():       true,
	reflect.TypeFor[message.Replica]():     true,
	reflect.TypeFor[message.Leadership]():  true,
	reflect.TypeFor[message.VolumeEpoch](): true,
	reflect.TypeFor[message.Version]():     true,
	reflect.TypeFor[quorum.Meta]():         true,
	reflect.TypeFor[quorum.Config]():       true,
	reflect.TypeFor[lease.Config]():        true,
}

// copier copies one object graph. It maps the pointers copied so far to their copies, so that
// aliases stay aliases.
type copier map[unsafe.Pointer]reflect.Value

// copyPartition copies a partition with its replica and its node, and rebinds the copy's
// functions to the copy.
func copyPartition(s *partition.Partition) *partition.Partition {
	out := copier{}.value(reflect.ValueOf(s)).Interface().(*partition.Partition)
	rebindFuncs(out)
	return out
}

// rebindFuncs binds the functions stored in a partition, its replica and its node to this copy.
func rebindFuncs(s *partition.Partition) {
	if s.Replica == nil {
		return
	}
	s.WritesFrom = s.Replica.WritesFrom
	if !s.Node.IsRoot() {
		return
	}
	root := reflect.ValueOf(s.Node).Elem().FieldByName("root")
	read := lease.RecordSource(func(key string) message.Record {
		if r, ok := s.Replica.Records().Get(key); ok {
			return r
		}
		return message.Record{Key: key, Deleted: true}
	})
	settable(root.FieldByName("record")).Set(reflect.ValueOf(read))
	settable(root.FieldByName("leaseEnd")).Set(reflect.ValueOf(s.Replica.LeaseEnd))
}

// settable returns a field, even an unexported one, as a value that can be read and set.
func settable(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

// value returns a deep copy of v.
func (c copier) value(v reflect.Value) reflect.Value {
	t := v.Type()
	if isShallow(t) {
		return v
	}
	switch t.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return v
		}
		if done, ok := c[v.UnsafePointer()]; ok {
			return done
		}
		out := reflect.New(t.Elem())
		c[v.UnsafePointer()] = out
		c.into(out.Elem(), v.Elem())
		return out
	case reflect.Map:
		if v.IsNil() {
			return v
		}
		out := reflect.MakeMapWithSize(t, v.Len())
		for it := v.MapRange(); it.Next(); {
			out.SetMapIndex(it.Key(), c.value(it.Value()))
		}
		return out
	case reflect.Slice:
		if v.IsNil() {
			return v
		}
		out := reflect.MakeSlice(t, v.Len(), v.Len())
		if isShallow(t.Elem()) {
			reflect.Copy(out, v)
			return out
		}
		for i := range v.Len() {
			out.Index(i).Set(c.value(v.Index(i)))
		}
		return out
	case reflect.Struct, reflect.Array:
		out := reflect.New(t).Elem()
		tmp := reflect.New(t).Elem()
		tmp.Set(v)
		c.into(out, tmp)
		return out
	}
	return v
}

// into copies the addressable struct or array v into out.
func (c copier) into(out, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		out.Set(v)
		if v.Type() == typeRecords { // the model has one key, so only its range is ever written
			maps, old := settable(out.FieldByName("records")), settable(v.FieldByName("records"))
			maps.Index(keyRange).Set(c.value(old.Index(keyRange)))
			return
		}
		for _, i := range deepFields(v.Type()) {
			settable(out.Field(i)).Set(c.value(settable(v.Field(i))))
		}
	case reflect.Array:
		for i := range v.Len() {
			out.Index(i).Set(c.value(v.Index(i)))
		}
	default:
		out.Set(c.value(v))
	}
}

var keyRange = digest.RangeOf(key)

var copiedFields sync.Map // reflect.Type of a struct -> []int

// deepFields returns the indexes of the fields that a plain assignment doesn't copy.
func deepFields(t reflect.Type) (list []int) {
	if known, ok := copiedFields.Load(t); ok {
		return known.([]int)
	}
	for i := range t.NumField() {
		if !isShallow(t.Field(i).Type) {
			list = append(list, i)
		}
	}
	copiedFields.Store(t, list)
	return list
}

var shallowTypes sync.Map // reflect.Type -> bool

// isShallow reports whether a plain assignment copies a value of this type completely.
func isShallow(t reflect.Type) bool {
	if known, ok := shallowTypes.Load(t); ok {
		return known.(bool)
	}
	is := computeShallow(t)
	shallowTypes.Store(t, is)
	return is
}

func computeShallow(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Slice, reflect.Interface:
		return t.Kind() == reflect.Interface // tags that callers attach to a write; never modified
	case reflect.Func:
		return true // rebound by the caller
	case reflect.Struct:
		if shared[t] {
			return true
		}
		for i := range t.NumField() {
			if !isShallow(t.Field(i).Type) {
				return false
			}
		}
		return true
	case reflect.Array:
		return isShallow(t.Elem())
	}
	return true
}

// maxAge is the age from which on all times in the past hash alike.
const maxAge = 10 * leaderLease

var (
	typeTime       = reflect.TypeFor[time.Duration]()
	typeRecords    = reflect.TypeFor[digest.Records]()
	unhashedFields = map[string]bool{
		"leaderSince": true, "Repairs": true,
		"sentAsPatches": true, "sentInFull": true, "generation": true, "renewCost": true,
	}
)

// hasher hashes values by content. Times are hashed relative to now, so that states that
// differ only in the time at which they were reached are equal.
type hasher struct {
	sum  uint64
	now  time.Duration
	seen map[unsafe.Pointer]bool
}

func (h *hasher) word(x uint64) {
	h.sum ^= x + 0x9e3779b97f4a7c15 + h.sum<<6 + h.sum>>2
	h.sum *= 0xbf58476d1ce4e5b9
	h.sum ^= h.sum >> 29
}

func (h *hasher) text(s string) {
	x := uint64(14695981039346656037)
	for i := range len(s) {
		x = (x ^ uint64(s[i])) * 1099511628211
	}
	h.word(x)
}

func (h *hasher) value(v reflect.Value) {
	t := v.Type()
	if t == typeTime {
		h.word(uint64(max(time.Duration(v.Int())-h.now, -maxAge)))
		return
	}
	switch t.Kind() {
	case reflect.Bool:
		if v.Bool() {
			h.word(1)
		} else {
			h.word(2)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		h.word(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		h.word(v.Uint())
	case reflect.Float32, reflect.Float64:
		h.word(uint64(v.Float() * 1e6))
	case reflect.String:
		h.text(v.String())
	case reflect.Pointer:
		if v.IsNil() || h.seen[v.UnsafePointer()] {
			h.word(3)
			return
		}
		h.seen[v.UnsafePointer()] = true
		h.value(v.Elem())
	case reflect.Map:
		sum := uint64(v.Len())
		for it := v.MapRange(); it.Next(); {
			sub := hasher{now: h.now, seen: h.seen}
			sub.value(it.Key())
			sub.value(it.Value())
			sum += sub.sum
		}
		h.word(sum)
	case reflect.Slice, reflect.Array:
		h.word(uint64(v.Len()))
		for i := range v.Len() {
			h.value(v.Index(i))
		}
	case reflect.Struct:
		h.fields(v)
	}
}

func (h *hasher) fields(v reflect.Value) {
	t := v.Type()
	if t == typeRecords {
		h.value(v.FieldByName("digests").Index(keyRange))
		return
	}
	for _, i := range hashFields(t) {
		h.value(v.Field(i))
	}
}

var hashedFields sync.Map // reflect.Type of a struct -> []int

// hashFields returns the indexes of the fields that distinguish states.
func hashFields(t reflect.Type) (list []int) {
	if known, ok := hashedFields.Load(t); ok {
		return known.([]int)
	}
	for i := range t.NumField() {
		if name := t.Field(i).Name; name != "cfg" && !unhashedFields[name] {
			list = append(list, i)
		}
	}
	hashedFields.Store(t, list)
	return list
}
