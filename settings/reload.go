package settings

import "reflect"

// Differ returns the paths of the fields whose values differ from those of another file. The incarnation is left out: each start draws
// another one.
func (s *Settings) Differ(other *Settings) []string {
	var out []string
	differ("", reflect.ValueOf(s).Elem(), reflect.ValueOf(other).Elem(), &out)
	return out
}

func differ(path string, a, b reflect.Value, out *[]string) {
	switch a.Kind() {
	case reflect.Pointer:
		if !a.IsNil() && !b.IsNil() {
			differ(path, a.Elem(), b.Elem(), out)
			return
		}
	case reflect.Struct:
		for i := range a.NumField() {
			name := a.Type().Field(i).Tag.Get("json")
			if name != "" && name != "incarnation" {
				differ(join(path, name), a.Field(i), b.Field(i), out)
			}
		}
		return
	}
	if !reflect.DeepEqual(a.Interface(), b.Interface()) {
		*out = append(*out, path)
	}
}
