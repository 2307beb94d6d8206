package listen_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"wigeondale/bounded"
	"wigeondale/listen"
	"wigeondale/settings"
)

// Guards against a request that runs and is cut without an answer since its connection was idle a moment ago.
func TestRequestThatRunsIsNotCutAsIdle(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]bool{}
	s, err := listen.New(listen.Config{Listener: settings.Listener{Address: "127.0.0.1:0"}, MaxConns: 4, Requests: bounded.NewPool(16<<20, "test", nil)},
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			ran[r.URL.Path] = true
			mu.Unlock()
			io.WriteString(w, "whole")
		}))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	cut, tries := 0, 0
	for i, end := 0, time.Now().Add(12*time.Second); time.Now().Before(end); i++ {
		tries++
		c, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		path := fmt.Sprintf("/%d", i)
		c.SetDeadline(time.Now().Add(3 * time.Second))
		var others [4]net.Conn
		var wg sync.WaitGroup
		time.Sleep(time.Millisecond)
		for k := range others {
			wg.Go(func() { others[k], _ = net.Dial("tcp", s.Addr().String()) })
		}
		_, _ = io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		answer := make([]byte, 12)
		_, err = io.ReadFull(c, answer)
		wg.Wait()
		time.Sleep(2 * time.Millisecond)
		mu.Lock()
		if err != nil && ran[path] {
			cut++
		}
		mu.Unlock()
		c.Close()
		for _, o := range others {
			if o != nil {
				o.Close()
			}
		}
	}
	if cut > 0 {
		t.Errorf("%d of %d requests ran and were cut", cut, tries)
	} else {
		t.Logf("0 of %d", tries)
	}
}

// Guards against an answer that is cut although its client reads all the time.
func TestAnswerThatIsReadSteadilyIsNotCut(t *testing.T) {
	for _, rate := range []int{4 << 20, 1 << 20, 128 << 10} { // bytes a second
		pool := bounded.NewPool(1<<20, "test", nil)
		s, err := listen.New(listen.Config{Listener: settings.Listener{Address: "127.0.0.1:0"}, Requests: pool},
			http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				piece := make([]byte, 32<<10)
				for r.Context().Err() == nil {
					if _, err := w.Write(piece); err != nil {
						return
					}
				}
			}))
		if err != nil {
			t.Fatal(err)
		}
		go s.Serve()
		c := write(t, s.Addr().String(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		ctx, stop := context.WithCancel(context.Background())
		for range 2 { // the first may use the reserve, the second waits
			go func() {
				h := pool.Hold("")
				_ = h.Grow(ctx, 2<<20)
			}()
		}
		read := 0
		buf := make([]byte, rate/20)
		for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			c.SetReadDeadline(time.Now().Add(5 * time.Second))
			n, err := io.ReadFull(c.r, buf)
			read += n
			if err != nil {
				t.Errorf("a client that reads %d KB/s is cut after %d KB: %v", rate>>10, read>>10, err)
				break
			}
		}
		stop()
		s.Close()
	}
}
