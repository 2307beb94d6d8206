package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
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
		target, known := fieldOf(v, name)
		if !known {
			d.add(at, "one of "+strings.Join(fieldNames(v), ", "), "an unknown field")
			return
		}
		d.value(target, at, child)
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
	if string(raw) == "null" || json.Unmarshal(raw, v.Addr().Interface()) != nil {
		d.add(path, typeName(v.Kind()), describe(raw))
	}
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

func fieldOf(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if tag := v.Type().Field(i).Tag.Get("json"); tag != "" && tag == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
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
