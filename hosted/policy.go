package hosted

import (
	"context"
	"errors"
	"time"

	"wigeondale/backend"
	"wigeondale/directory"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/settings"
)

const (
	// startedMaxWait is how long a response that has started waits for a replica to continue at: a
	// little less than clients tolerate.
	startedMaxWait = 5 * time.Second
	// refusedRetry is the time to come back that is sent with a refusal when no better time is
	// known: crashed replicas are back within seconds.
	refusedRetry = 600 * time.Millisecond
	// maxFruitless is how many attempts in a row may end without delivering a chunk.
	maxFruitless = 8
	// killMargin is the time between the moment at which the process exits on its own and the
	// moment at which the platform would end the process by force.
	killMargin = 300 * time.Millisecond
	// settingsReadTime bounds the reading of the settings file before a stop, whose time has begun.
	settingsReadTime = 100 * time.Millisecond
	// expiryHeartbeats is the number of missed heartbeats after which an entry expires, as the
	// platform documents. A suspected replica gets no request before that time has passed. By
	// then a crashed replica has been removed from the registry and its successor is another
	// incarnation, so the crashed replica gets no request.
	expiryHeartbeats = 3
	// prefillFactor and queueFactor extend the bound on the time to a first chunk, since an
	// engine reads prompts one after the other. A longer bound does little harm: the router
	// detects that a replica has lost a run by querying the replica, and need not wait for the
	// bound.
	prefillFactor = 5
	queueFactor   = 2
	// typicalGap is the time between the chunks of one stream that is assumed before any was
	// observed. It is longer than at an engine without other work, and shorter than while a
	// prompt is read.
	typicalGap = 60 * time.Millisecond
	// tick is the interval at which the failure detector evaluates the replicas. It can delay
	// each detection by up to one interval.
	tick = 10 * time.Millisecond
)

// policyOf returns the policy of the failure detector, adapted to replicas that often crash by
// failure domain, and to clients for whom even a short pause is too long.
func policyOf(h *settings.Hosted) health.Policy {
	p := health.DefaultPolicy()
	p.FailuresPerHour = h.FailuresPerHour
	p.MinSilence = millis(h.MinSilenceMS)
	p.MaxSilence = millis(h.MaxSilenceMS)
	p.MassSilence = millis(h.MaxSilenceMS)
	p.PrefillBytesPerSecond = h.PrefillTokensPerSecond * bytesPerToken
	p.MinPrefill = millis(h.MinPrefillMS)
	p.PrefillFactor = prefillFactor
	p.QueueFactor = queueFactor
	p.MinBackoff = expiryHeartbeats * h.Heartbeat()
	p.TypicalGap = typicalGap
	p.Tick = tick
	return p
}

// runQuerier queries a replica for the runs that the replica has. It returns an error if the
// replica has restarted, since the earlier runs are lost then. It implements
// health.RunQuerier.
type runQuerier struct {
	dir      *directory.Directory
	replicas generation.RunQuerier
}

func (q runQuerier) QueryRuns(ctx context.Context, id string) (health.RunReport, error) {
	b, ok := q.dir.Backend(id)
	if !ok {
		return nil, Error.New("replica %s is not known", id)
	}
	report, err := q.replicas.Runs(ctx, b)
	if errors.Is(err, backend.ErrWithheld) {
		return nil, errors.Join(health.ErrQueryWithheld, err)
	}
	if err == nil && report.Restarted {
		err = Error.New("replica %s has started again", b.ID)
	}
	return report, err
}

// bytesPerToken converts a rate in tokens to a rate in bytes. Package generation states the
// sizes of prompts in bytes, with bytesPerToken bytes for each token.
const bytesPerToken = 4
