package listen_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"wigeondale/bounded"
	"wigeondale/listen"
	"wigeondale/settings"
)

// Guards against a part of an upload counting as the whole when its client resets the connection while an answer is being
// written, whose write gets the kernel's only report of the loss.
func TestUploadResetUnderItsAnswerIsNotWhole(t *testing.T) {
	read := make(chan error)
	s, err := listen.New(listen.Config{Listener: settings.Listener{Address: "127.0.0.1:0"}, MaxConns: 4, Requests: bounded.NewPool(16<<20, "test", nil)},
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			for chunk := make([]byte, 1<<20); ; {
				if _, err := w.Write(chunk); err != nil {
					break
				}
			}
			_, err := io.Copy(io.Discard, r.Body)
			read <- err
		}))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	for _, framing := range []string{"Content-Length: 9\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"} {
		c, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, "POST /p HTTP/1.1\r\nHost: x\r\n"+framing)
		io.ReadFull(c, make([]byte, 1<<10))
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		select {
		case err := <-read:
			if err == nil {
				t.Errorf("%q counts as whole", framing)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("the handler goes on")
		}
	}
}
