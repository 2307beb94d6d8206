package ctl

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against the text of an error in the output of the command stream, or a part of an answer that it reports as the whole.
func TestStreamPrintsNoOtherAnswer(t *testing.T) {
	for status, body := range map[int]string{200: `{"choices":[]}`, 204: "", 404: "ERRORTEXT", 502: "HTTP/1.1 404 X\r\n\r\nERRORTEXT"} {
		var servers []string
		for _, answer := range []http.HandlerFunc{
			func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, "id: c1\ndata: {\"choices\":[{\"text\":\"one\"}]}\n\nid: c2\n")
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			},
			func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = io.WriteString(w, body) // 204 has no body
			},
		} {
			srv := httptest.NewServer(answer)
			t.Cleanup(srv.Close)
			servers = append(servers, srv.URL)
		}
		var out strings.Builder
		err := Stream(t.Context(), StreamCmd{Routers: strings.Join(servers, ","), PromptFile: "stream_test.go"}, "k", &out)
		if !errors.Is(err, ErrRefused) || strings.Trim(strings.ReplaceAll(out.String(), "one", ""), "\n") != "" {
			t.Errorf("%d: printed %q, %v", status, out.String(), err)
		}
	}
}
