package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"wigeondale/number"
)

// defaulter is an optional section that sets its own defaults when it is present in the
// file; an absent section stays nil.
type defaulter interface{ SetDefaults() }

// decoder decodes the JSON text field by field into the Go value that has the same
// structure. encoding/json alone stops at the first fault, reports no path, and silently
// uses the last of two fields with the same name.
type decoder struct {
	problems Problems
}

// decode decodes data into s; fields that data does not set keep their values.
func decode(data []byte, s *Settings) Problems {
	d := &decoder{}
	dec := json.NewDecoder(bytes.NewReader(data))
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		d.add("", "valid JSON", fmt.Sprintf("offset %d: %v", dec.InputOffset(), err))
		return d.problems
	}
	if _, err := dec.Token(); err != io.EOF {
		d.add("", "nothing after the settings", "more text")
	}
	d.value(reflect.ValueOf(s).Elem(), "", raw)
	return d.problems
}

func (d *decoder) add(path, want, got string) {
	d.problems = append(d.problems, Problem{Path: path, Want: want, Got: got})
}

func (d *decoder) value(v reflect.Value, path string, raw json.RawMessage) {
	switch v.Kind() {
	case reflect.Struct:
		d.object(v, path, raw)
	case reflect.Slice:
		d.array(v, path, raw)
	case reflect.Pointer:
		target := reflect.New(v.Type().Elem())
		if section, ok := target.Interface().(defaulter); ok {
			section.SetDefaults()
		}
		v.Set(target)
		d.value(v.Elem(), path, raw)
	default:
		d.scalar(v, path, raw)
	}
}

// children calls f for each member of an object or array that is valid JSON.
func children(raw json.RawMessage, f func(name string, child json.RawMessage)) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	start, _ := dec.Token()
	for dec.More() {
		name := ""
		if start == json.Delim('{') {
			tok, _ := dec.Token()
			name, _ = tok.(string)
		}
		var child json.RawMessage
		if dec.Decode(&child) != nil {
			return
		}
		f(name, child)
	}
}

func (d *decoder) object(v reflect.Value, path string, raw json.RawMessage) {
	if raw[0] != '{' {
		d.add(path, "an object", describe(raw))
		return
	}
	seen := map[string]bool{}
	children(raw, func(name string, child json.RawMessage) {
		at := join(path, name)
		if seen[name] {
			d.add(at, "the field once", "it a second time")
		}
		seen[name] = true
		target, field, known := fieldOf(v, name)
		switch {
		case !known:
			d.add(at, "one of "+strings.Join(fieldNames(v), ", "), "an unknown field")
		case string(child) == "null" && field.Tag.Get("null") == "absent":
		case field.Tag.Get("round") == "limit":
			d.limit(target, at, child)
		default:
			d.value(target, at, child)
		}
	})
}

func (d *decoder) array(v reflect.Value, path string, raw json.RawMessage) {
	if raw[0] != '[' {
		d.add(path, "an array", describe(raw))
		return
	}
	out := reflect.MakeSlice(v.Type(), 0, 4)
	children(raw, func(_ string, child json.RawMessage) {
		item := reflect.New(v.Type().Elem()).Elem()
		d.value(item, fmt.Sprintf("%s[%d]", path, out.Len()), child)
		out = reflect.Append(out, item)
	})
	v.Set(out)
}

// scalar sets a string, bool or number. It rejects null, which encoding/json ignores.
func (d *decoder) scalar(v reflect.Value, path string, raw json.RawMessage) {
	target := v.Addr().Interface()
	var whole number.Whole
	if v.CanInt() {
		target = &whole
	}
	if string(raw) == "null" || json.Unmarshal(raw, target) != nil || v.CanInt() && v.OverflowInt(int64(whole)) {
		d.add(path, typeName(v.Kind()), describe(raw))
		return
	}
	if v.CanInt() {
		v.SetInt(int64(whole))
	}
}

// limit sets a limit, which is rounded down, but not to 0: that stands for a limit that isn't known.
func (d *decoder) limit(v reflect.Value, path string, raw json.RawMessage) {
	var down number.Floor
	var up number.Ceil
	if string(raw) == "null" || json.Unmarshal(raw, &down) != nil || json.Unmarshal(raw, &up) != nil {
		d.add(path, "a number", describe(raw))
		return
	}
	v.SetInt(int64(max(down.Int(), min(up.Int(), 1))))
}

func typeName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "an integer"
}

func describe(raw json.RawMessage) string {
	const maxShown = 40 // bytes shown
	if len(raw) > maxShown {
		return strings.ToValidUTF8(string(raw[:maxShown]), "") + "..."
	}
	return string(raw)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldOf(v reflect.Value, name string) (reflect.Value, reflect.StructField, bool) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if tag := field.Tag.Get("json"); tag != "" && tag == name {
			return v.Field(i), field, true
		}
	}
	return reflect.Value{}, reflect.StructField{}, false
}

func fieldNames(v reflect.Value) []string {
	var names []string
	for i := range v.NumField() {
		if tag := v.Type().Field(i).Tag.Get("json"); tag != "" {
			names = append(names, tag)
		}
	}
	return names
}
