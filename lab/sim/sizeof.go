package sim

import "reflect"

// sizeOf is how many bytes a value holds, with all that it points to, each thing once. A map's own cost is taken as half
// of its entries' more, which is what its groups come to on average. What lies behind functions, channels and interfaces
// of the engine is not followed.
func sizeOf(v any) uint64 {
	s := sizer{seen: map[uintptr]bool{}, skip: map[reflect.Type]bool{reflect.TypeFor[*node](): true,
		reflect.TypeFor[*engine](): true}}
	return s.behind(reflect.ValueOf(v))
}

type sizer struct {
	seen map[uintptr]bool
	skip map[reflect.Type]bool
}

// behind is what lies behind a value, besides the value's own bytes.
func (s *sizer) behind(v reflect.Value) (n uint64) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || s.skip[v.Type()] || s.seen[v.Pointer()] {
			return 0
		}
		s.seen[v.Pointer()] = true
		return uint64(v.Type().Elem().Size()) + s.behind(v.Elem())
	case reflect.Interface:
		if v.IsNil() {
			return 0
		}
		return s.behind(v.Elem())
	case reflect.Slice:
		if v.IsNil() || s.seen[v.Pointer()] {
			return 0
		}
		s.seen[v.Pointer()] = true
		n = uint64(v.Cap()) * uint64(v.Type().Elem().Size())
		if !plainType(v.Type().Elem()) {
			for i := range v.Len() {
				n += s.behind(v.Index(i))
			}
		}
	case reflect.Array:
		if !plainType(v.Type().Elem()) {
			for i := range v.Len() {
				n += s.behind(v.Index(i))
			}
		}
	case reflect.Struct:
		for i := range v.NumField() {
			n += s.behind(v.Field(i))
		}
	case reflect.String:
		n = uint64(v.Len())
	case reflect.Map:
		one := uint64(v.Type().Key().Size() + v.Type().Elem().Size())
		n = uint64(v.Len()) * one * 3 / 2
		for it := v.MapRange(); it.Next(); {
			n += s.behind(it.Key()) + s.behind(it.Value())
		}
	}
	return n
}

func plainType(t reflect.Type) bool {
	return t.Kind() >= reflect.Bool && t.Kind() <= reflect.Complex128
}
