package listen_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"wigeondale/listen"
	"wigeondale/settings"
)

// busyServer serves requests that last until release is closed, and sends on entered when one begins.
func busyServer(t *testing.T, maxConns, spare int) (s *listen.Server, entered, release chan struct{}) {
	t.Helper()
	entered, release = make(chan struct{}, 16), make(chan struct{})
	cfg := listen.Config{Listener: settings.Listener{Address: "127.0.0.1:0"}, MaxConns: maxConns, SparePlaces: spare}
	s, err := listen.New(cfg, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			entered <- struct{}{}
			<-release
		}
		io.WriteString(w, "whole")
	}))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return s, entered, release
}

// takePlaces takes places until there is none.
func takePlaces(s *listen.Server) (releases []func()) {
	for {
		release, ok := s.TakePlace()
		if !ok {
			return releases
		}
		releases = append(releases, release)
	}
}

const busyRequest = "GET /busy HTTP/1.1\r\nHost: x\r\n\r\n"

// Guards against connections to backend servers beside those of a full listener, which would take all descriptors.
func TestPlacesAreThoseThatClientsLeave(t *testing.T) {
	s, entered, release := busyServer(t, 4, 2)
	addr := s.Addr().String()
	var open []*testClient
	for range 3 {
		open = append(open, write(t, addr, busyRequest))
		<-entered
	}
	releases := takePlaces(s)
	if len(releases) != 3 {
		t.Fatalf("%d places beside 3 clients of 4, want 3", len(releases))
	}
	write(t, addr, busyRequest).awaitEnd(t) // its place is taken
	releases[0]()
	releases[0]()
	open = append(open, write(t, addr, busyRequest))
	<-entered
	if n := len(takePlaces(s)); n != 0 {
		t.Errorf("%d more places beside a full listener", n)
	}
	close(release)
	for _, c := range open {
		c.readAnswer(t)
	}
}

// Guards against idle connections that keep silent requests from a second attempt.
func TestIdleConnectionEndsForAPlace(t *testing.T) {
	s, entered, release := busyServer(t, 2, 0)
	addr := s.Addr().String()
	idle := write(t, addr, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	idle.readAnswer(t)
	busy := write(t, addr, busyRequest)
	<-entered
	awaitPlace(t, s)
	idle.awaitEnd(t)
	if _, ok := s.TakePlace(); ok {
		t.Error("a place was taken from a request")
	}
	close(release)
	busy.readAnswer(t)
}

// awaitPlace takes a place as soon as the answered connection is idle.
func awaitPlace(t *testing.T, s *listen.Server) {
	t.Helper()
	for range 10_000 {
		if _, ok := s.TakePlace(); ok {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("there is no place")
}
