// Package deploy is a stand-in for the part of the users' platform that renders the settings file of a process from a template.
//
// Placeholders: {{a}}, {{a.b}} and {{a.0}} are a value, with lists joined by commas and tables as JSON, and nothing if there is none;
// {{a|json}} is the value as JSON and {{.|json}} all fields. Nothing is escaped. {{#a}}..{{/a}} is rendered for each entry of a list or
// table, or once if the value is true or another one that is there; {{.}} is the entry in it, {{@}} its key or index and {{,}} a comma
// except after the last one. {{^a}}..{{/a}} is rendered if there is no value, or false.
package deploy

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("deploy")

// scope is where names are resolved: in the entries of the sections around, the innermost first, and then in all fields.
type scope struct {
	outer *scope
	value any
	key   string
	last  bool
}

// Render fills in the template from fields, the decoded JSON of a settings file of the platform. Numbers that are json.Number keep
// their notation.
func Render(template string, fields map[string]any) (string, error) {
	out, rest, err := render(template, "", &scope{value: fields, last: true})
	if err == nil && rest != "" {
		err = Error.New("text after the template's end")
	}
	return out, err
}

// render renders text up to the end of the section with the given name, and returns what follows.
func render(text, section string, s *scope) (out, rest string, err error) {
	var b strings.Builder
	for {
		before, after, found := strings.Cut(text, "{{")
		b.WriteString(before)
		if !found {
			if section != "" {
				err = Error.New("section %s has no end", section)
			}
			return b.String(), "", err
		}
		tag, after, found := strings.Cut(after, "}}")
		if !found {
			return "", "", Error.New("a placeholder has no end")
		}
		text = after
		switch {
		case tag == "/"+section && section != "":
			return b.String(), text, nil
		case strings.HasPrefix(tag, "/"):
			return "", "", Error.New("section %s ends where %q is open", tag[1:], section)
		case strings.HasPrefix(tag, "#"), strings.HasPrefix(tag, "^"):
			var part string
			if part, text, err = renderSection(tag, text, s); err != nil {
				return "", "", err
			}
			b.WriteString(part)
		default:
			b.WriteString(s.placeholder(tag))
		}
	}
}

func renderSection(tag, text string, s *scope) (out, rest string, err error) {
	name := tag[1:]
	entries := s.entries(name)
	if tag[0] == '^' {
		if len(entries) > 0 {
			entries = nil
		} else {
			entries = []*scope{s}
		}
	}
	_, rest, err = render(text, name, s) // finds the end, also of a section that isn't rendered
	for _, e := range entries {
		part, _, err := render(text, name, e)
		if err != nil {
			return "", "", err
		}
		out += part
	}
	return out, rest, err
}

// entries returns the scopes in which a section is rendered.
func (s *scope) entries(name string) []*scope {
	v, ok := s.lookup(name)
	if !ok || v == nil || v == false {
		return nil
	}
	var out []*scope
	switch v := v.(type) {
	case []any:
		for i, e := range v {
			out = append(out, &scope{outer: s, value: e, key: strconv.Itoa(i), last: i == len(v)-1})
		}
	case map[string]any:
		keys := slices.Sorted(maps.Keys(v))
		for i, k := range keys {
			out = append(out, &scope{outer: s, value: v[k], key: k, last: i == len(keys)-1})
		}
	default:
		out = append(out, &scope{outer: s, value: v, last: true})
	}
	return out
}

func (s *scope) placeholder(tag string) string {
	switch tag {
	case ",":
		if s.last {
			return ""
		}
		return ","
	case "@":
		return s.key
	}
	name, asJSON := strings.CutSuffix(tag, "|json")
	v, ok := s.lookup(name)
	if !ok || v == nil && !asJSON {
		return ""
	}
	if asJSON {
		return encode(v)
	}
	return plain(v)
}

func (s *scope) lookup(name string) (any, bool) {
	if name == "." {
		return s.value, true
	}
	path := strings.Split(name, ".")
	for at := s; at != nil; at = at.outer {
		if v, ok := descend(at.value, path); ok {
			return v, true
		}
	}
	return nil, false
}

func descend(v any, path []string) (any, bool) {
	for _, name := range path {
		switch in := v.(type) {
		case map[string]any:
			next, ok := in[name]
			if !ok {
				return nil, false
			}
			v = next
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i < 0 || i >= len(in) {
				return nil, false
			}
			v = in[i]
		default:
			return nil, false
		}
	}
	return v, true
}

func plain(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case []any:
		parts := make([]string, len(v))
		for i, e := range v {
			parts[i] = plain(e)
		}
		return strings.Join(parts, ",")
	}
	return encode(v)
}

func encode(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}
