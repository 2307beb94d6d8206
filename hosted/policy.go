package hosted

import (
	"context"
	"time"

	"wigeondale/directory"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/settings"
)

const (
	// startedPatience is how long an answer that has begun waits for a replica
	// to go on at: a little less than clients bear.
	startedPatience = 5 * time.Second
	// refusedRetry is told with a refusal when nothing better is known: replicas that
	// crash are back within seconds.
	refusedRetry = 600 * time.Millisecond
	// maxFruitless bounds attempts in a row without a piece.
	maxFruitless = 8
	// killMargin is how long before the platform's kill the process ends.
	killMargin = 300 * time.Millisecond
	// lapsedBeats is after how many heartbeats an entry lapses, as the platform documents. A
	// replica under suspicion gets a first request again then: a crashed one is off the
	// registry by that time, and the replica that follows is another lifetime.
	lapsedBeats = 3
	// prefillFactor and queueFactor stretch the bound on a first piece: prompts are
	// read one after the other. A replica that lost the run is found by asking it.
	prefillFactor = 5
	queueFactor   = 2
	// typicalGap between the pieces of one stream, before any was observed: more than
	// alone, less than beside a prompt that is read.
	typicalGap = 60 * time.Millisecond
	// tick is the interval of judgement; it adds to the time of each detection.
	tick = 10 * time.Millisecond
)

// policyOf fits the failure detector to replicas that often crash by failure domain, and
// to clients for whom a short pause is late.
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
	p.MinBackoff = lapsedBeats * millis(h.HeartbeatMS)
	p.TypicalGap = typicalGap
	p.Tick = tick
	return p
}

// inquirer has replicas asked about their runs. It implements health.Inquirer.
type inquirer struct {
	dir      *directory.Directory
	replicas generation.RunQuerier
}

func (q inquirer) QueryRuns(ctx context.Context, id string) (health.RunReport, error) {
	b, ok := q.dir.Backend(id)
	if !ok {
		return nil, Error.New("replica %s is not known", id)
	}
	report, err := q.replicas.Runs(ctx, b)
	if err == nil && report.Restarted {
		err = Error.New("replica %s has started again", b.ID)
	}
	return report, err
}

// bytesPerToken is the size by which package generation states prompts.
const bytesPerToken = 4
