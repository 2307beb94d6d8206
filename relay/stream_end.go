package relay

import (
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/route"
)

// StreamEnd is what is known of a stream that has ended.
type StreamEnd struct {
	Service, Route, Account string
	Priority                int
	LengthHint              int
	MaxAnswerTokens         int
	FirstChunk              int // number of the first chunk that the client wanted
	Chunks                  int // delivered by this router
	Complete                bool
}

// streamEnded passes a stream that has ended on to Config.OnStreamEnd.
func (r *Relay) streamEnded(j *job, res generation.Result) {
	if r.cfg.OnStreamEnd == nil || j.route.Kind != route.Stream || res.Tokens == 0 {
		return
	}
	r.cfg.OnStreamEnd(StreamEnd{
		Service: j.service, Route: j.route.Name, Account: j.account, Priority: j.stated,
		LengthHint: j.req.LengthHint, MaxAnswerTokens: j.req.MaxAnswerTokens,
		FirstChunk: j.req.FirstChunk, Chunks: res.Tokens, Complete: res.Outcome == fleet.Complete,
	})
}
