// Package sample decides which backend servers of a large service the routers know. All
// routers know the same sample, so that they name the same preferred engines for a prompt, and
// a returning client finds its engine through any router.
//
// If each router knew every backend server, its memory, its share of the updates and the time
// that it needs to start would grow with the fleet, although it uses few of them.
package sample

import (
	"encoding/json"
	"maps"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"wigeondale/number"
)

// Error is the class of this package's errors.
var Error = errs.Class("sample")

// MinServers is the least number of backend servers of a service that are in a new sample,
// until the service turns out to need more. With 1,024 engines, one in five reads a prompt when
// 200 prompts a second take a second each, and a router that queries three engines finds an
// idle one in 99 of 100 cases.
const MinServers = 1024

// maxHalvings is the number of bits of the hash by which backend servers are sampled.
const maxHalvings = 64

// Plan states how large the sample of each service is. The zero Plan includes all backend
// servers of all services.
type Plan struct {
	// Halvings is the binary logarithm of the ratio of a service's backend servers to the
	// sampled ones. Services that are not listed are sampled in full.
	Halvings map[string]int `json:"halvings"`
	// Wanted is the least number of backend servers in the sample of a service that needs more
	// than MinServers.
	Wanted map[string]int `json:"wanted,omitempty"`
}

// wanted returns the least number of backend servers in the sample of a service. With fewer
// than half of them the sample becomes larger, with twice as many smaller.
func (p Plan) wanted(service string) int { return max(p.Wanted[service], MinServers) }

// Enlarged returns the plan after requests of a service found no room at the sampled backend
// servers, and whether it differs from p: the sample becomes twice as large, if it is not the
// whole service.
func (p Plan) Enlarged(service string) (Plan, bool) {
	if p.Halvings[service] == 0 {
		return p, false
	}
	out := Plan{Halvings: maps.Clone(p.Halvings), Wanted: maps.Clone(p.Wanted)}
	if out.Wanted == nil {
		out.Wanted = map[string]int{}
	}
	out.Halvings[service]--
	out.Wanted[service] = 2 * p.wanted(service)
	return out, true
}

// ForCounts returns the plan for services with the given numbers of backend servers.
func ForCounts(counts map[string]int) Plan {
	p := Plan{Halvings: map[string]int{}}
	for service, n := range counts {
		if n >= 2*MinServers {
			p.Halvings[service] = bits.Len(uint(n/MinServers)) - 1
		}
	}
	return p
}

// Adjusted returns the plan that should replace p if the samples have the given numbers of
// backend servers, and whether it differs from p.
func (p Plan) Adjusted(sampled map[string]int) (Plan, bool) {
	out := Plan{Halvings: maps.Clone(p.Halvings), Wanted: p.Wanted}
	for service, halvings := range p.Halvings {
		if sampled[service] < p.wanted(service)/2 && halvings > 0 {
			out.Halvings[service]--
		}
	}
	for service, n := range sampled {
		if n < 2*p.wanted(service) {
			continue
		}
		if out.Halvings == nil {
			out.Halvings = map[string]int{}
		}
		out.Halvings[service]++
	}
	return out, !maps.Equal(p.Halvings, out.Halvings)
}

// Includes reports whether the backend server with the given name is in the sample of its
// service.
func (p Plan) Includes(service, name string) bool {
	halvings := p.Halvings[service]
	return halvings == 0 || bits.LeadingZeros64(xxhash.Sum64String(name)) >= halvings
}

// Within reports whether every backend server that p includes is also included by o.
func (p Plan) Within(o Plan) bool {
	for service, halvings := range o.Halvings {
		if p.Halvings[service] < halvings {
			return false
		}
	}
	return true
}

// Samples reports whether the plan leaves any backend servers out.
func (p Plan) Samples() bool {
	for _, halvings := range p.Halvings {
		if halvings > 0 {
			return true
		}
	}
	return false
}

// Encode returns the form in which a plan is stored.
func (p Plan) Encode() ([]byte, error) {
	data, err := json.Marshal(p)
	return data, Error.Wrap(err)
}

// Decode decodes a stored plan.
func Decode(data []byte) (Plan, error) {
	var stored struct {
		Halvings map[string]number.Whole `json:"halvings"`
		Wanted   map[string]number.Ceil  `json:"wanted"`
	}
	if err := json.Unmarshal(data, &stored); err != nil {
		return Plan{}, Error.Wrap(err)
	}
	p := Plan{Halvings: make(map[string]int, len(stored.Halvings)), Wanted: make(map[string]int, len(stored.Wanted))}
	for service, n := range stored.Halvings {
		p.Halvings[service] = number.Int(float64(n))
	}
	for service, n := range stored.Wanted {
		p.Wanted[service] = n.Int()
	}
	for service, halvings := range p.Halvings {
		if halvings < 0 || halvings > maxHalvings {
			return Plan{}, Error.New("service %q: %d halvings", service, halvings)
		}
	}
	return p, nil
}
