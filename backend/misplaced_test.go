package backend

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Guards against a copy that is not recorded because it arrives before the answer has been checked.
func TestCopyBeforeTheCheckIsRecorded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	checking := make(chan struct{})
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		c.Read(make([]byte, 4<<10))
		const answer = "HTTP/1.1 204 No Content\r\nX-Request-Id: q1\r\n\r\n"
		fmt.Fprint(c, answer)
		<-checking
		fmt.Fprint(c, answer)
		c.Read(make([]byte, 1)) // returns when the client has closed the connection
	}()
	set := metrics.NewSet()
	count := set.GetOrCreateCounter("wigeon_answers_unsolicited_total")
	p := NewConns(DialConfig{Timeout: time.Second, Named: namedRequest})
	p.SetMisplaced(NewMisplaced(nil, set))
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ln.Addr().String()+"/a", nil)
	_, err = p.RoundTrip(Exchange{Request: req, Check: func(*http.Response) error {
		close(checking)
		for end := time.Now().Add(5 * time.Second); count.Get() == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		return nil
	}})
	if err != nil || count.Get() != 1 {
		t.Errorf("counted %d, %v", count.Get(), err)
	}
}
