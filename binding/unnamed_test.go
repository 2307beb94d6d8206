package binding

import (
	"context"
	"testing"
	"time"
)

// Guards against a stream of an unknown version that is joined with the only listed one since its client doesn't name it.
func TestUnnamedTakeUpBesideAStreamOfUnknownVersion(t *testing.T) {
	p := newPair()
	p.list(testStart, testStart+25*time.Second, "v1")
	now := testStart + 25*time.Second
	p.stated = Statement{Versions: []string{"v1"}, Sole: true}
	p.Began(NewKey("s", "acc", "q"), "s", UnknownVersion, 20*time.Second, now)
	if v, err := p.find("q", now); err == nil {
		t.Errorf("named: %q", v)
	}
	if f, err := p.FindUnnamed(context.Background(), "s", now); err == nil {
		t.Errorf("not named: %q by %s", f.Version, f.Source)
	}
}

// Guards against a stream that outlasts a shortened timeout of its service and is joined with a later version.
func TestUnnamedTakeUpAfterAShorterTimeout(t *testing.T) {
	p := newPair()
	lifetime := 60 * time.Second
	p.cfg.Lifetime = func(string) time.Duration { return lifetime }
	p.list(testStart, testStart+70*time.Second, "v1")
	now := testStart + 70*time.Second
	p.Began(NewKey("s", "acc", "q"), "s", "v1", 60*time.Second, now) // until testStart+130s
	p.list(now, now+3*time.Second, "v1", "v2")
	p.list(now+3*time.Second, now+13*time.Second, "v2")
	lifetime = 5 * time.Second
	now += 13 * time.Second
	p.list(now, now+time.Second, "v2")
	now += time.Second
	p.stated = Statement{Versions: []string{"v2"}, Sole: true} // what NextStatement states now
	if st, due := p.NextStatement("s", now); due {
		t.Logf("statement due: %+v", st)
	}
	if v, err := p.find("q", now); err != nil || v != "v1" {
		t.Errorf("named: %q %v", v, err)
	}
	if f, err := p.FindUnnamed(context.Background(), "s", now); err == nil {
		t.Errorf("a stream that began at v1 47 s before its end goes on at %q by %s", f.Version, f.Source)
	}
}
