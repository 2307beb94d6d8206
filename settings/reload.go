package settings

import "reflect"

// Reload returns the settings of a running process after a change of its file to next: the fields that are tagged as live have their
// values of next, the others keep theirs. It also returns the paths of the live fields that have changed, and of the others that take
// effect at the next start.
func (s *Settings) Reload(next *Settings) (updated *Settings, live, atNextStart []string) {
	copied := *s
	if s.Hosted != nil {
		hosted := *s.Hosted
		copied.Hosted = &hosted
	}
	r := reloader{}
	r.values("", reflect.ValueOf(&copied).Elem(), reflect.ValueOf(next).Elem(), false)
	return &copied, r.live, r.atNextStart
}

type reloader struct {
	live, atNextStart []string
}

// isLive reports whether the new value of a field with a reload tag takes effect at once. One that is live-if-set does unless one of the
// values is 0, which stands for a value that isn't known.
func isLive(tag string, v, next reflect.Value) bool {
	return tag == "live" || tag == "live-if-set" && !v.IsZero() && !next.IsZero()
}

// values compares two values, and takes the value of next if it is live. The incarnation is left out: each start draws another one.
func (r *reloader) values(path string, v, next reflect.Value, live bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() && !next.IsNil() {
			r.values(path, v.Elem(), next.Elem(), live)
			return
		}
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if name := field.Tag.Get("json"); name != "" && name != "incarnation" {
				r.values(join(path, name), v.Field(i), next.Field(i), isLive(field.Tag.Get("reload"), v.Field(i), next.Field(i)))
			}
		}
		return
	}
	switch {
	case reflect.DeepEqual(v.Interface(), next.Interface()):
	case live:
		v.Set(next)
		r.live = append(r.live, path)
	default:
		r.atNextStart = append(r.atNextStart, path)
	}
}
