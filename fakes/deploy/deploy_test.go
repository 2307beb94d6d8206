package deploy

import (
	"encoding/json"
	"testing"
)

// Guards against a stand-in that renders less than the platform's rules say.
func TestRenderFollowsTheRulesOfPlaceholders(t *testing.T) {
	fields := map[string]any{
		"name": `a"b`, "n": json.Number("8e0"), "none": nil, "no": false, "yes": true, "ports": []any{json.Number("1"), json.Number("2")},
		"zones": map[string]any{"a": "x", "b": "y"}, "nodes": []any{map[string]any{"name": "inner"}}, "zero": json.Number("0"),
	}
	for template, want := range map[string]string{
		`{{name}} {{name|json}}`:                           `a"b "a\"b"`,
		`{{n}} {{n|json}} {{ports}} {{ports.1}}`:           `8e0 8e0 1,2 2`,
		`[{{none}}{{missing}}{{missing.deep}}{{zones.c}}]`: `[]`,
		`{{zones}}`:                            `{"a":"x","b":"y"}`,
		`{{#ports}}{{@}}={{.}}{{,}}{{/ports}}`: `0=1,1=2`,
		`{{#zones}}{{@}}={{.}}{{,}}{{/zones}}`: `a=x,b=y`,
		`{{#nodes}}{{name}}{{n}}{{/nodes}}`:    `inner8e0`,
		`{{#yes}}1{{/yes}}{{#no}}2{{/no}}{{#none}}3{{/none}}{{#missing}}4{{/missing}}{{#zero}}5{{/zero}}`: `15`,
		`{{^yes}}1{{/yes}}{{^no}}2{{/no}}{{^missing}}3{{/missing}}`:                                       `23`,
	} {
		if got, err := Render(template, fields); err != nil || got != want {
			t.Errorf("%s: %q, %v, want %q", template, got, err, want)
		}
	}
	for _, bad := range []string{`{{#a}}`, `{{/a}}`, `{{a`, `{{#a}}{{/b}}`} {
		if _, err := Render(bad, fields); err == nil {
			t.Errorf("%s is accepted", bad)
		}
	}
}
