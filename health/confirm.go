package health

import (
	"context"
	"slices"
	"time"

	"wigeondale/event"
)

// Where engines can be asked, a failure domain is given up only after its members were:
// what looks like the crash of all may be pauses, or resets of some connections.

const reasonSilence = "common silence"

// ask tells whether the members are to be asked about a common silence at t: their
// last word counts for a while.
func (d *domain) ask(t int64) bool { return d.due(&d.askedAt, t, wordLife) }

// confirmSilence asks the silent members before their domain is given up: most of them
// must give no answer.
//
// What goes wrong without it: the silence that is no chance is told from the gaps that
// were seen. Engines that read prompts slowly pause their runs for longer than any gap
// before, several at once when several prompts come; sound domains are given up, their
// runs begun again elsewhere, and their engines get no work for some seconds. A domain
// that is down costs the time of the question.
func (m *Monitor) confirmSilence(d *domain, silent []*engine) {
	answered := m.whoAnswers(silent)
	mute := len(silent) - len(answered)
	if mute < domainFailures || mute <= len(answered) {
		return
	}
	m.vouch(answered)
	m.crashed(d, m.at(time.Now()), reasonSilence)
}

// confirmCrash asks the members that failed before their domain is given up.
//
// What goes wrong without it: engines that reset some of their connections are taken
// for a crash of their domain as soon as two do so at the same moment. All routers
// leave the domain alone for some seconds, and its runs are begun again elsewhere. It
// shows as a third of the engines without work while all of them are sound.
//
// Members that did not fail are asked too, and most must be gone: engines that ended each
// under a request of its own, or in one rack, are not the domain.
func (m *Monitor) confirmCrash(d *domain, t int64) {
	defer d.confirmed()
	witnesses := d.witnesses(t)
	answers := m.askAll(witnesses)
	asked := map[*engine]bool{}
	for {
		failed := d.lately(t)
		failed = slices.DeleteFunc(failed, func(e *engine) bool { return asked[e] })
		if len(failed) == 0 {
			break
		}
		for _, e := range failed {
			asked[e] = true
		}
		m.spareAlive(d, failed)
	}
	gone := len(d.lately(t))
	if gone < domainFailures {
		return
	}
	if !m.mostWork(answers, gone, len(witnesses)) {
		m.crashed(d, m.at(time.Now()), "members failed together")
	}
}

// mostWork tells whether more of those that were asked work than are gone, as soon as that is
// certain.
func (m *Monitor) mostWork(answers <-chan answer, gone, asked int) bool {
	all, working := gone+asked, 0
	for 2*gone < all && 2*working <= all {
		w := <-answers
		if w.err != nil {
			gone++
			continue
		}
		working++
		m.vouch([]*engine{w.from})
	}
	return 2*working > all
}

// vouch notes that engines have just answered.
func (m *Monitor) vouch(answered []*engine) {
	t := m.at(time.Now())
	for _, e := range answered {
		e.vouchedAt.Store(t)
	}
}

// spareAlive takes back the failures of those members that answer a question.
func (m *Monitor) spareAlive(d *domain, failed []*engine) {
	for _, e := range m.whoAnswers(failed) {
		d.spare(e)
	}
}

// whoAnswers asks engines and returns those that answer in time.
func (m *Monitor) whoAnswers(asked []*engine) []*engine {
	answers := m.askAll(asked)
	var answered []*engine
	for range asked {
		if w := <-answers; w.err == nil {
			answered = append(answered, w.from)
		}
	}
	return answered
}

// answer is what came of asking one engine; err tells that it gave none in time.
type answer struct {
	from *engine
	err  error
}

// askAll asks engines at the same time. An answer, or an error, comes of each.
func (m *Monitor) askAll(asked []*engine) <-chan answer {
	answers := make(chan answer, len(asked))
	for _, e := range asked {
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), inquiryTimeout)
			defer stop()
			m.inquiries.Inc()
			_, err := m.RunQuerier.QueryRuns(ctx, e.id)
			m.log.Emit(event.EngineAsked, "backend", e.id, "lost", 0, "err", err)
			answers <- answer{e, err}
		}()
	}
	return answers
}
