package soak

import (
	"maps"
	"slices"
	"strings"
	"sync"

	fakes "wigeondale/fakes/hosted"
)

const (
	// One in uploadEvery plain requests has a long body with Config.Malformed, of at most maxUpload bytes.
	uploadEvery = 3
	maxUpload   = 8 << 20
	// malformedRecordBytes is what plain services record of a body then.
	malformedRecordBytes = 4 << 10
)

// uploadBody is made at its first use: the routers of tests run the same program, and a test bounds their memory.
var uploadBody = sync.OnceValue(func() string { return strings.Repeat("u", maxUpload) })

// malformedFaults lists the faults of Config.Malformed.
func (r *platformRun) malformedFaults() []fault {
	if !r.cfg.Malformed {
		return nil
	}
	all := []fault{{"replica resets uploads after a part of an answer", func() func() { return r.misbehave(fakes.Faults{ResetUploads: true}) }}}
	for _, kind := range slices.Sorted(maps.Keys(fakes.MalformedHeads)) {
		all = append(all, fault{"replica sends malformed heads: " + kind, func() func() { return r.misbehave(fakes.Faults{Malformed: kind}) }})
	}
	return append(all, slices.Repeat(all[:1], len(all)-2)...) // resets as often as the heads together
}

// drawBody draws the body of a plain request; empty for a short one.
func (c *platformClient) drawBody() string {
	if c.rng.IntN(uploadEvery) > 0 {
		return ""
	}
	return uploadBody()[:maxUpload/2+c.rng.IntN(maxUpload/2)]
}

// maxBody returns the limit of a request's body; 0 for the routers' default.
func (c *Config) maxBody() int {
	if c.Malformed {
		return maxUpload
	}
	return 0
}
