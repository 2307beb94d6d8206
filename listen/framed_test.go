package listen_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"wigeondale/bounded"
	"wigeondale/listen"
)

// Guards against a part of an answer that looks whole to a client of HTTP/1.0, whatever ends the handler.
func TestAnswerOverHTTP10IsWholeOrNone(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	handlers := map[string]http.HandlerFunc{
		"/whole": func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, long[:50<<10])
			io.WriteString(w, long[50<<10:])
		},
		"/empty":   func(http.ResponseWriter, *http.Request) {},
		"/status":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) },
		"/flushed": func(w http.ResponseWriter, _ *http.Request) { streamTo(w, long); panic(http.ErrAbortHandler) },
		"/cut":     func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, long); panic(http.ErrAbortHandler) },
		"/stated": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(len(long)))
			streamTo(w, long[:9])
			panic(http.ErrAbortHandler)
		},
		"/huge": func(w http.ResponseWriter, _ *http.Request) {
			for range 32 {
				io.WriteString(w, long)
			}
		},
	}
	s, err := listen.New(listen.Config{Requests: bounded.NewPool(1<<20, "requests", nil)}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handlers[r.URL.Path](w, r)
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	go s.Serve()
	for path, want := range map[string]int{"/whole": len(long), "/empty": 0, "/status": 0, "/flushed": -1, "/cut": -1, "/stated": -1, "/huge": 32 * len(long)} {
		for _, line := range []string{"", "Connection: keep-alive\r\n"} {
			if got := readHTTP10(t, s.Addr().String(), path, line); got != want {
				t.Errorf("%s %q: got %d, want %d", path, line, got, want)
			}
		}
	}
}

func streamTo(w http.ResponseWriter, text string) {
	io.WriteString(w, text)
	http.NewResponseController(w).Flush()
}

// readHTTP10 returns the length of an answer that looks whole, or -1.
func readHTTP10(t *testing.T, addr, path, line string) int {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET %s HTTP/1.0\r\n%s\r\n", path, line)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return -1
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return -1
	}
	return len(body)
}
