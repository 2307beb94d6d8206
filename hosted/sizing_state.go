package hosted

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/backend"
	"wigeondale/cost"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/relay"
	"wigeondale/settings"
)

// registerMetrics adds the metrics of the estimates to a set.
func (s *sizer) registerMetrics(set *metrics.Set) {
	for name, value := range map[string]func(cost.Stats) float64{
		"wigeon_sizing_answers_total":        func(t cost.Stats) float64 { return float64(t.Answers) },
		"wigeon_sizing_above_quantile_total": func(t cost.Stats) float64 { return float64(t.Above80) },
		"wigeon_sizing_tokens_total":         func(t cost.Stats) float64 { return t.Tokens },
		"wigeon_sizing_error_tokens_total":   func(t cost.Stats) float64 { return t.AbsError },
	} {
		set.NewGauge(name, func() float64 { return value(s.lengths.Stats()) })
	}
}

// serviceSizes is the part of the state dump about one service.
type serviceSizes struct {
	Service        string
	TokensPerChunk float64
	Mean           float64 // tokens of an answer
	Q50, Q80       float64
}

// state returns the part of the state dump about the estimates.
func (s *sizer) state() any {
	now := time.Now()
	out := struct {
		Stats    cost.Stats
		Services []serviceSizes
	}{Stats: s.lengths.Stats()}
	for service, perChunk := range s.calibration.All(now) {
		z := serviceSizes{Service: service, TokensPerChunk: perChunk}
		if d, ok := s.lengths.RestOf(service, -1, now); ok {
			z.Mean, _ = d.Moments()
			z.Q50, z.Q80 = d.Quantile(0.5), d.Quantile(0.8)
		}
		out.Services = append(out.Services, z)
	}
	return out
}

// sizedEngines measures the answers of services that are not model engines.
type sizedEngines struct {
	generation.Engines
	sizer *sizer
}

// Open implements generation.Engines.
func (o sizedEngines) Open(ctx context.Context, b fleet.Backend, r backend.StartRequest) (generation.Stream, error) {
	if r.Opaque == nil || r.Opaque.Streaming {
		return o.Engines.Open(ctx, b, r)
	}
	startedAt := time.Now()
	s, err := o.Engines.Open(ctx, b, r)
	if err == nil {
		o.sizer.work.Observe(b.Service, r.Opaque.Route, time.Since(startedAt), time.Now())
	}
	return s, err
}

// newSizing makes the picker use learned sizes, if the settings say so. It returns the access to the
// replicas and the function that is called with each stream that has ended.
func (n *node) newSizing(pick *picker, engines generation.Engines) (generation.Engines, func(relay.StreamEnd)) {
	if n.set.Hosted.Decisions.Sizing != settings.SizingLearned {
		return engines, nil
	}
	pick.sizer = newSizer(n.log)
	pick.sizer.registerMetrics(n.meter)
	n.dumps.Add("cost", func() any { return pick.sizer.state() })
	return sizedEngines{engines, pick.sizer}, pick.sizer.streamEnded
}
