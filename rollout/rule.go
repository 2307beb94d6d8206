package rollout

import (
	"slices"

	"wigeondale/fleet"
)

// Rule determines which replicas of a service an attempt may use. It is a snapshot.
type Rule struct {
	// Epoch increases with each change of the rule.
	Epoch  uint64
	Stage  Stage
	Target string
	// Barred versions get no requests.
	Barred []string
	// CompletedRevision is the store revision at which the roll-out was recorded as completed.
	// Replicas created after this revision may be used whatever their version. Replicas of
	// other versions created before it have stopped.
	CompletedRevision fleet.Revision
	// Stale reports that this router's copy of the store is out of date: the roll-out may have
	// advanced or ended without this router knowing.
	Stale bool
}

// Allows reports whether an attempt that is not part of a trial may use a replica.
func (r *Rule) Allows(b *fleet.Backend) bool {
	if slices.Contains(r.Barred, b.Version) {
		return false
	}
	isNew := b.Version == r.Target
	switch r.Stage {
	case Waiting, Trial, RolledBack:
		return !isNew
	case Moving:
		// If this router's copy of the store is out of date, the roll-out may have completed or
		// been rolled back since the copy was current: replicas of both versions may be used.
		return isNew || r.Stale
	case Completed:
		return isNew || b.Started > r.CompletedRevision
	}
	return true
}

// RolledBack reports whether a version gets no requests because it was rolled back, or was the target of an earlier
// order that did not complete. Streams that began there go on neither.
func (r *Rule) RolledBack(version string) bool {
	return slices.Contains(r.Barred, version) || r.Stage == RolledBack && version == r.Target
}

// AllowsTrial reports whether an attempt that is part of the trial may use a replica.
func (r *Rule) AllowsTrial(b *fleet.Backend) bool {
	return r.Stage == Trial && !r.Stale && b.Version == r.Target && !slices.Contains(r.Barred, b.Version)
}
