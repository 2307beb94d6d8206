package rollout

import (
	"slices"

	"wigeondale/fleet"
)

// Rule says which replicas of a service an attempt may use. It is a value of one moment.
type Rule struct {
	// Epoch grows with each change of the rule.
	Epoch  uint64
	Stage  Stage
	Target string
	// Barred versions get nothing.
	Barred []string
	// CompletedRevision is the number from which replicas of any version count again, once a
	// roll-out has completed: those that started before it have stopped.
	CompletedRevision int64
	// Stale tells that this router does not hear the store: what it knows may be over.
	Stale bool
}

// Allows tells whether an attempt that is not part of a trial may use a replica.
func (r *Rule) Allows(b *fleet.Backend) bool {
	if slices.Contains(r.Barred, b.Version) {
		return false
	}
	isNew := b.Version == r.Target
	switch r.Stage {
	case Waiting, Trial, RolledBack:
		return !isNew
	case Moving:
		// It may have completed or been taken back meanwhile: both versions are tried.
		return isNew || r.Stale
	case Completed:
		return isNew || b.Started > r.CompletedRevision
	}
	return true
}

// AllowsTrial tells whether a trial may use a replica.
func (r *Rule) AllowsTrial(b *fleet.Backend) bool {
	return r.Stage == Trial && !r.Stale && b.Version == r.Target && !slices.Contains(r.Barred, b.Version)
}

// MovesRuns tells whether runs at a replica are to go on elsewhere.
func (r *Rule) MovesRuns(b *fleet.Backend) bool {
	if r.Stale || (r.Stage != Moving && r.Stage != RolledBack) {
		return false
	}
	return !r.Allows(b)
}
