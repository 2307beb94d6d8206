package docs

import (
	"strings"
	"testing"
)

func addHeadProbes(add addProbe) {
	const id, seal, length = "X-Attempt-Id: q", "X-Response-Seal: s", "Content-Length: 2"
	line := func(before, after string) func(*testing.T, []string) string {
		return func(t *testing.T, v []string) string {
			return answerProbe(t, before+v[0]+after+strings.Join([]string{id, seal, length, "", "ok"}, "\r\n"), false)
		}
	}
	add("status of an answer", forms{{""}, {"+20"}, nil, {"600"}}, line("HTTP/1.1 ", " OK\r\n"))
	add("HTTP version of an answer", forms{{""}, {"HTTP/one"}, nil, {"HTTP/2.0"}}, line("", " 200 OK\r\n"))
	add("name of a field", forms{{""}, {"X Foo"}, nil, nil}, line("HTTP/1.1 200 OK\r\n", ": 1\r\n"))
	chunks := headOf(200, "Transfer-Encoding", []string{"chunked"}, id, seal) + "2\r\nok\r\n0\r\n"
	add("name of a field in the trailer section", forms{{""}, {"X Foo"}, nil, nil}, func(t *testing.T, v []string) string {
		return answerProbe(t, chunks+v[0]+": 1\r\n\r\n", false)
	})
	add("`Transfer-Encoding`, from a replica", forms{{}, {"chunk"}, {"chunked", "chunked"}, {"gzip, chunked"}}, func(t *testing.T, v []string) string {
		return answerProbe(t, headOf(200, "Transfer-Encoding", v, id, seal)+"2\r\nok\r\n0\r\n\r\n", false)
	})
}
