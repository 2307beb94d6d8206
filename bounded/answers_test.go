package bounded

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against an answer over TLS that is not checked, and against the loss of HTTP/2.
func TestAnswersOverTLSAreChecked(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nX Foo: 1\r\nContent-Length: 0\r\n\r\n")
				conn.Close()
			}
		}
	}))
	s.EnableHTTP2 = true
	s.StartTLS()
	defer s.Close()
	roots := s.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	for _, both := range []bool{false, true} {
		tr := NewTransport(&http.Transport{ForceAttemptHTTP2: both})
		tr.TLSClientConfig = &tls.Config{RootCAs: roots}
		resp, err := (&http.Client{Transport: tr}).Get(s.URL)
		if both && (err != nil || resp.ProtoMajor != 2) || !both && !errors.Is(err, ErrMalformed) {
			t.Errorf("HTTP/2 %v: got %v, %v", both, resp, err)
		}
		tr.CloseIdleConnections()
	}
	unknown := NewTransport(&http.Transport{})
	if _, err := (&http.Client{Transport: unknown}).Get(s.URL); err == nil {
		t.Error("a certificate of an unknown authority is accepted")
	}
}

// Guards against a status that no answer has over HTTP/2, where there is no status line.
func TestStatusOfHTTP2IsChecked(t *testing.T) {
	for status, ok := range map[int]bool{20: false, 99: false, 100: true, 599: true, 600: false, 999: false} {
		_, err := CheckStatus(&http.Response{StatusCode: status, Body: http.NoBody}, nil)
		if (err == nil) != ok || !ok && !errors.Is(err, ErrMalformed) {
			t.Errorf("%d: %v", status, err)
		}
	}
}

// Guards against a connection over which net/http reads past the check.
func TestAnswerConnReadsThroughTheCheck(t *testing.T) {
	var _ net.Conn = (*AnswerConn)(nil)
	server, client := net.Pipe()
	defer server.Close()
	go io.WriteString(server, "HTTP/1.1 200 OK\r\nX Foo: 1\r\n\r\n")
	c := NewAnswerConn(client)
	defer c.Close()
	if _, err := io.ReadAll(c); !errors.Is(err, ErrMalformed) {
		t.Errorf("got %v", err)
	}
}
