package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"wigeondale/generation"
)

// Guards against requests of other routers whose headers of many lines take much more memory than their messages.
func TestHeadersOfPassedOnRequestsShareTheMemory(t *testing.T) {
	const memory, lines = 4 << 20, 6000
	header := http.Header{}
	for i := range lines {
		header.Set(fmt.Sprint("h", i), "")
	}
	f := New(Config{TakenBytes: memory})
	release, ended := make(chan struct{}), make(chan string, 4)
	running := make(chan struct{}, 4)
	for range 4 {
		a, b := newPipe()
		go f.Serve(t.Context(), "r1", b, runnerFunc(func(context.Context, generation.Request, generation.Sink) generation.Result {
			running <- struct{}{}
			<-release
			return generation.Result{}
		}))
		if err := a.Send(t.Context(), startMessage{ID: "q", Opaque: &opaqueStart{Header: header}}); err != nil {
			t.Fatal(err)
		}
		go func() {
			var m answerMessage
			for m.Kind != answerEnd && a.Receive(t.Context(), 0, &m) == nil {
			}
			ended <- m.Code
		}()
	}
	defer close(release)
	ran := 0
	for range 4 {
		select {
		case <-running:
			ran++
		case code := <-ended:
			if code != codeBusy {
				t.Errorf("code %q", code)
			}
		}
	}
	if ran == 0 || ran*lines*256 > memory {
		t.Errorf("%d requests run at once", ran)
	}
}
