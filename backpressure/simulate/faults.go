package simulate

import "time"

const (
	faultAt      = 10 * time.Second
	cutTime      = 15 * time.Second
	maxDowntime  = 8 * time.Second
	maxStartTime = time.Second
	churnSteps   = 50 // mean number of steps between two deaths
	unknownShare = 0.05
)

// Faults are the faults of a fleet, by name: each is a function for Fleet.Run.
var Faults = map[string]func(f *Fleet, elapsed time.Duration){
	"none": func(*Fleet, time.Duration) {},
	"churn": func(f *Fleet, _ time.Duration) {
		if f.Rand.IntN(churnSteps) == 0 {
			f.Kill(f.Routers[f.Rand.IntN(len(f.Routers))], time.Duration(f.Rand.Int64N(int64(maxDowntime))))
		}
	},
	"cut": func(f *Fleet, elapsed time.Duration) {
		if elapsed == faultAt {
			f.CutFrom, f.CutUntil = f.Now, f.Now.Add(cutTime)
		}
	},
	"restart of all": func(f *Fleet, elapsed time.Duration) {
		if elapsed != faultAt {
			return
		}
		for _, r := range f.Routers {
			f.Kill(r, time.Duration(f.Rand.Int64N(int64(maxStartTime))))
		}
	},
	"disagreement": func(f *Fleet, _ time.Duration) { f.BlindShare = unknownShare },
	"one deaf":     func(f *Fleet, _ time.Duration) { f.Deaf = 0 },
}
