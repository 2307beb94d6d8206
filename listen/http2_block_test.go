package listen_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"wigeondale/bounded"
	"wigeondale/listen"
)

// Guards against an unfinished header block that keeps its memory from others for as long as one request of its connection is open.
func TestUnfinishedHeaderBlockBesideAnOpenRequestIsGivenUp(t *testing.T) {
	for name, open := range map[string]string{"alone": "", "beside a request": frame(frameHeaders, endHeaders, 1, h2Post)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testUnfinishedBlock(t, open)
		})
	}
}

func testUnfinishedBlock(t *testing.T, open string) {
	pool := bounded.NewPool(2<<20, "test", nil)
	addr, client := encryptedServer(t, listen.Config{HeaderBytes: 64 << 10, Requests: pool}, answerWhole)
	first, second := pool.Hold(""), pool.Hold("") // the second uses the reserve
	_ = first.Grow(context.Background(), 1000<<10)
	_ = second.Grow(context.Background(), 1000<<10)
	first.Close()
	slow := dialHTTP2(t, addr, client, open+frame(frameHeaders, endStream, 3, h2Post+strings.Repeat("\x90", 15000)))
	time.Sleep(4 * time.Second) // stands still
	body := strings.Repeat("x", 600<<10)
	statuses := []int{}
	for range 4 {
		c := writeEncrypted(t, addr, client, fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatal(err)
		}
		statuses = append(statuses, resp.StatusCode)
		c.Close()
	}
	if statuses[len(statuses)-1] != http.StatusOK {
		t.Errorf("got %v", statuses)
	}
	slow.awaitEnd(t)
}
