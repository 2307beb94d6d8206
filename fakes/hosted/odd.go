package hosted

import "strings"

// OddValues are contents of items that no program of the deployment writes, by name.
var OddValues = map[string]string{
	"empty":             "",
	"null":              "null",
	"list":              "[]",
	"nested, closed":    strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000),
	"nested, unclosed":  strings.Repeat(`{"a":[`, 170_000),
	"large number":      `{"version":12345678901234567890123,"until_unix_ms":12345678901234567890123,"era":1e999}`,
	"largest int64":     `{"version":9223372036854775807,"born":-9223372036854775808,"era":9223372036854775807}`,
	"not UTF-8":         "{\"versions\":[\"\xff\xfe\"],\"service\":\"\xff\"}",
	"1 MB":              strings.Repeat("x", 1<<20),
	"fields twice":      `{"versions":["a"],"versions":null,"sole":true,"sole":true}`,
	"nested CBOR":       strings.Repeat("\x81", 100_000),
	"CBOR with a size":  "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",
	"port out of range": "10.0.0.1:70000",
	"odd replica": `{"service":"app","address":"10.0.0.1:70000","zone":"d0","version":"v1","slots":12345678901234567890123,` +
		`"state":"ready","cold_left_ms":0,"sequence":1}`,
}
