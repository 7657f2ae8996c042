package raft

import (
	"math/rand"
	"reflect"
	"time"
	"unsafe"
)

// Deep copies and hashes of the states of the exhaustive search. They use reflection, so that
// Node needs no code for them.

// deepCopyNode returns a deep copy of a node. The copies share the source of random numbers,
// which has no effect since searchConfig has no jitter.
func deepCopyNode(n *Node) *Node {
	c := *n
	deepCopyInPlace(reflect.ValueOf(&c).Elem())
	return &c
}

// deepCopyInPlace replaces everything that a value points to by copies.
func deepCopyInPlace(v reflect.Value) {
	switch v.Type() {
	case reflect.TypeFor[time.Time](), reflect.TypeFor[*rand.Rand]():
		return
	}
	if !v.CanSet() {
		v = reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			deepCopyInPlace(v.Field(i))
		}
	case reflect.Pointer:
		if !v.IsNil() {
			p := reflect.New(v.Type().Elem())
			p.Elem().Set(v.Elem())
			deepCopyInPlace(p.Elem())
			v.Set(p)
		}
	case reflect.Slice:
		if !v.IsNil() {
			s := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
			reflect.Copy(s, v)
			if !isPlainData(v.Type().Elem()) {
				for i := range s.Len() {
					deepCopyInPlace(s.Index(i))
				}
			}
			v.Set(s)
		}
	case reflect.Map:
		if !v.IsNil() {
			m := reflect.MakeMapWithSize(v.Type(), v.Len())
			for it := v.MapRange(); it.Next(); {
				e := reflect.New(v.Type().Elem()).Elem()
				e.Set(it.Value())
				deepCopyInPlace(e)
				m.SetMapIndex(it.Key(), e)
			}
			v.Set(m)
		}
	}
}

// isPlainData reports whether copies of a type share no data that is modified in place.
func isPlainData(t reflect.Type) bool {
	switch t {
	case reflect.TypeFor[Entry](), reflect.TypeFor[Member](), reflect.TypeFor[Message]():
		return true
	}
	return t.Kind() <= reflect.Float64 || t.Kind() == reflect.String
}

// hasher hashes values, including unexported fields.
type hasher struct{ sum uint64 }

func newHasher() *hasher { return &hasher{14695981039346656037} }

func hashOf(v reflect.Value) uint64 {
	h := newHasher()
	h.add(v)
	return h.sum
}

func (h *hasher) mix(x uint64) {
	h.sum = (h.sum ^ x) * 0x9E3779B97F4A7C15
	h.sum ^= h.sum >> 29
}

func (h *hasher) add(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			h.mix(1)
		}
		h.mix(2)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		h.mix(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		h.mix(v.Uint())
	case reflect.Float64:
		h.mix(uint64(v.Float() * 1000))
	case reflect.String:
		text := v.String()
		for i := range len(text) {
			h.mix(uint64(text[i]))
		}
		h.mix(uint64(len(text)))
	case reflect.Struct:
		for i := range v.NumField() {
			h.add(v.Field(i))
		}
	case reflect.Pointer:
		switch v.Type() {
		case reflect.TypeFor[*rand.Rand](), reflect.TypeFor[*time.Location]():
			return
		}
		if !v.IsNil() {
			h.add(v.Elem())
		}
		h.mix(3)
	case reflect.Slice, reflect.Array:
		h.mix(uint64(v.Len()))
		for i := range v.Len() {
			h.add(v.Index(i))
		}
	case reflect.Map:
		sum := uint64(v.Len())
		for it := v.MapRange(); it.Next(); {
			entry := newHasher()
			entry.add(it.Key())
			entry.add(it.Value())
			sum += entry.sum
		}
		h.mix(sum)
	}
}
