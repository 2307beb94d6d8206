package settings_test

import (
	"encoding/json"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"wigeondale/settings"
)

const settingsPage = "../docs/OPERATIONS.md"

// unset is what the page of settings (settingsPage) shows as the default of a field without
// one.
const unset = "–"

// fields maps each field's JSON path to its default as the page shows it.
func fields(path string, v reflect.Value, out map[string]string) {
	switch v.Kind() {
	case reflect.Pointer:
		target := reflect.New(v.Type().Elem())
		if section, ok := target.Interface().(interface{ SetDefaults() }); ok {
			section.SetDefaults()
		}
		fields(path, target.Elem(), out)
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if f.IsExported() {
				fields(join(path, f), v.Field(i), out)
			}
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Struct {
			fields(path+"[]", reflect.New(v.Type().Elem()).Elem(), out)
			return
		}
		out[path] = shown(v)
	default:
		out[path] = shown(v)
	}
}

// join adds a field to a path. The three listeners have the same fields, so they share rows
// of the page.
func join(path string, f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if f.Type == reflect.TypeFor[settings.Listener]() {
		name = "*"
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func shown(v reflect.Value) string {
	if v.Kind() == reflect.String && v.Len() == 0 {
		return unset
	}
	raw, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

var row = regexp.MustCompile("(?m)^\\| `([a-z0-9_.*\\[\\]]+)` \\| ([^|]+) \\| ([^|]+) \\| (.+) \\|$")

// The page for operators (settingsPage) must list every setting with the program's default.
// A row for a removed field would lead operators to write a file that is rejected at start.
func TestPageNamesEachField(t *testing.T) {
	want := map[string]string{}
	fields("", reflect.ValueOf(settings.Default()).Elem(), want)
	text, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(text), "## Settings")
	section, _, _ = strings.Cut(section, "\n## ")
	got := map[string]bool{}
	for _, m := range row.FindAllStringSubmatch(section, -1) {
		path, def := m[1], strings.Trim(m[2], "` ")
		if got[path] {
			t.Errorf("%s has two rows", path)
		}
		got[path] = true
		wantDef, ok := want[path]
		if !ok {
			t.Errorf("%s is in the page but is not a setting", path)
		} else if def != wantDef {
			t.Errorf("%s: the default is %s in the page, %s in the program", path, def, wantDef)
		}
	}
	for path := range want {
		if !got[path] {
			t.Errorf("%s has no row", path)
		}
	}
}
