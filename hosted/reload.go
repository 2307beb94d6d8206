package hosted

import (
	"wigeondale/rollout"
	"wigeondale/settings"
)

// applySettings puts the live settings in force at the running node. The time until the kill is read when the node stops.
//
// Nodes take a change up at different moments, up to a second apart. Each uses its part of a fleet-wide bound, so that all parts
// together stay below the larger one of the old and the new bound meanwhile.
func (n *node) applySettings(set *settings.Settings) {
	n.budgets.update(set.Hosted)
	n.rollouts.setLimits(rolloutLimits(set.Hosted))
	n.software.records.setWrites(set.Hosted.StoreWrites())
}

func rolloutLimits(h *settings.Hosted) rollout.Limits {
	return rollout.Limits{Share: min(h.RolloutShare, 1), Burst: h.RolloutBurst}
}
