package health

import (
	"time"
)

// thresholdCache is the cached threshold of an engine, with the time of its computation and
// the inputs for which it is valid.
type thresholdCache struct {
	at           int64
	streams      int
	peerReported bool
	value        time.Duration
}

// thresholdTTL is how long a threshold is used for the same streams. Engines
// with long steps are silent beyond MinSilence in most ticks, and the
// arithmetic for hundreds of them in each tick would use much processor time.
const thresholdTTL = int64(200 * time.Millisecond)

// threshold returns the cached threshold of an engine. It computes the threshold anew when the
// number of streams or the presence of a peer report has changed, or after thresholdTTL.
func (m *Monitor) threshold(e *engine, h *History, t int64) time.Duration {
	k := &e.cachedThreshold
	if k.streams == h.Streams && k.peerReported == h.PeerReported && t-k.at < thresholdTTL {
		return k.value
	}
	h.Gaps = e.gaps.Shares().WithPrior(m.priorShares())
	*k = thresholdCache{t, h.Streams, h.PeerReported, Evaluate(*h, &m.policy).Threshold}
	return k.value
}

// history sums up the streams that wait for their next token: their number, the bytes to
// prefill if they were resumed elsewhere, and the silence of the engine.
//
// A tick may fall between the two writes that record a token, when the stream's time of its
// last token is already set and the engine's is still from before the engine was idle. The
// engine would seem to have been silent all that time, and the stream would be cancelled at
// its first token. So the latest time of all streams counts as well.
func (e *engine) history(t int64) History {
	var h History
	newest := int64(0)
	for _, s := range e.streams {
		if s.cancelled || s.lastToken.Load() == 0 || s.blocked.Load() {
			continue
		}
		newest = max(newest, s.lastToken.Load())
		h.Streams++
		if s.resumable.Load() {
			h.Bytes += float64(s.work.PromptBytes) / copiedShare
			continue
		}
		h.Bytes += float64(s.work.PromptBytes) + float64(s.tokens.Load())*s.monitor.policy.TokenBytes
	}
	h.Silence = min(e.silence(t), time.Duration(t-newest))
	return h
}
