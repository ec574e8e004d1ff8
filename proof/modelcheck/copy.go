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

// A copy of a state machine is made by reflection, so that a field added to the
// machine is copied (and hashed) without a word here. Messages and records are
// never changed in place by the machines and are shared between copies.

// shared are the types whose values copies share: nobody changes them in place.
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

// copier copies one object graph; what two pointers share stays shared.
type copier map[unsafe.Pointer]reflect.Value

// copyPartition copies a partition with its replica and its node, and ties the
// copy's functions to the copy.
func copyPartition(s *partition.Partition) *partition.Partition {
	out := copier{}.value(reflect.ValueOf(s)).Interface().(*partition.Partition)
	tie(out)
	return out
}

// tie points the functions that a partition's parts hold at this copy of them.
func tie(s *partition.Partition) {
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

// settable makes a field that may be unexported one that can be read and set.
func settable(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

func (c copier) value(v reflect.Value) reflect.Value {
	t := v.Type()
	if flat(t) {
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
		if flat(t.Elem()) {
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

// into copies an addressable struct or array, field by field.
func (c copier) into(out, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		out.Set(v)
		if v.Type() == typeRecords { // the model has one key: no other range is ever written
			maps, old := settable(out.FieldByName("records")), settable(v.FieldByName("records"))
			maps.Index(span).Set(c.value(old.Index(span)))
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

var span = digest.RangeOf(key)

var copiedFields sync.Map // reflect.Type of a struct -> []int

// deepFields lists the fields that an assignment doesn't copy.
func deepFields(t reflect.Type) (list []int) {
	if known, ok := copiedFields.Load(t); ok {
		return known.([]int)
	}
	for i := range t.NumField() {
		if !flat(t.Field(i).Type) {
			list = append(list, i)
		}
	}
	copiedFields.Store(t, list)
	return list
}

var flats sync.Map // reflect.Type -> bool

// flat reports whether a plain assignment copies a value of this type.
func flat(t reflect.Type) bool {
	if known, ok := flats.Load(t); ok {
		return known.(bool)
	}
	is := isFlat(t)
	flats.Store(t, is)
	return is
}

func isFlat(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Slice, reflect.Interface:
		return t.Kind() == reflect.Interface // what callers say of a write: never changed
	case reflect.Func:
		return true // tied anew by the caller
	case reflect.Struct:
		if shared[t] {
			return true
		}
		for i := range t.NumField() {
			if !flat(t.Field(i).Type) {
				return false
			}
		}
		return true
	case reflect.Array:
		return flat(t.Elem())
	}
	return true
}

// forgotten is how long ago a time lies at which all earlier ones look the same.
const forgotten = 10 * leaderLease

var (
	typeTime    = reflect.TypeFor[time.Duration]()
	typeRecords = reflect.TypeFor[digest.Records]()
	noContent   = map[string]bool{
		"leaderSince": true, "Repairs": true,
		"sentAsPatches": true, "sentInFull": true, "generation": true, "renewCost": true,
	}
)

// hasher hashes values by content. Times count as seen from now, so that states
// that differ only in when they were reached are one.
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
		h.word(uint64(max(time.Duration(v.Int())-h.now, -forgotten)))
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
		h.value(v.FieldByName("digests").Index(span))
		return
	}
	for _, i := range hashFields(t) {
		h.value(v.Field(i))
	}
}

var hashedFields sync.Map // reflect.Type of a struct -> []int

// hashFields lists the fields by which states are told apart.
func hashFields(t reflect.Type) (list []int) {
	if known, ok := hashedFields.Load(t); ok {
		return known.([]int)
	}
	for i := range t.NumField() {
		if name := t.Field(i).Name; name != "cfg" && !noContent[name] {
			list = append(list, i)
		}
	}
	hashedFields.Store(t, list)
	return list
}
