package measure

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"wigeondale/backpressure/simulate"
)

// Of each fleet, limitFleetStart is simulated until all routers know of the limit, and then
// limitFleetTime, in which the faults happen.
const (
	limitFleetStart = 5 * time.Second
	limitFleetTime  = 35 * time.Second
)

// limitFleets writes how ways to divide a backend server's limit among routers do in simulated fleets:
// the largest number of requests in a window against the number allowed, and the share of the limit that is used
// after the start.
func limitFleets(out io.Writer) error {
	ways := []struct {
		name       string
		newLimiter simulate.NewLimiter
	}{
		{"each applies the limit", simulate.NewOwnLimit},
		{"equal shares", simulate.NewEqualShares},
		{"few routers", simulate.NewTracker},
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WAY\tROUTERS\tLIMIT\tFAULT\tMOST IN 4 S\tALLOWED\tUSED")
	for _, way := range ways {
		for _, routers := range []int{8, 76, 300, 985} {
			for _, limit := range []float64{0.2, 2.8} {
				for _, fault := range []string{"none", "cut"} {
					f := simulate.New(1, routers, limit, way.newLimiter)
					f.Run(limitFleetStart, simulate.Faults["none"])
					before := f.Sent
					f.Run(limitFleetTime, simulate.Faults[fault])
					used := float64(f.Sent-before) / (limit * limitFleetTime.Seconds())
					fmt.Fprintf(w, "%s\t%d\t%v\t%s\t%d\t%d\t%.2f\n", way.name, routers, limit, fault, f.Most(), simulate.Allowed(limit), used)
				}
			}
		}
	}
	return Error.Wrap(w.Flush())
}
