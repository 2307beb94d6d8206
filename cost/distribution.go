package cost

import "math"

// Distribution is the expected distribution of the length of an answer, in tokens.
type Distribution struct {
	cell    [cells]float64
	maximum float64 // no answer is longer
	atMax   float64 // probability of the maximum itself
}

// newDistribution cuts a distribution off at the maximum: what lies above it counts at it, as far as
// answers reach their maximum; reached is the share of those that did lately. The rest counts below
// the maximum like everything there. A hint that is too long would otherwise foretell the maximum
// where no answer comes near it.
func newDistribution(m *masses, maximum, reached float64) Distribution {
	d := Distribution{maximum: maximum}
	end := position(maximum)
	var inside, above float64
	for i, p := range m.cell {
		below := min(max(end-float64(i), 0), 1)
		d.cell[i] = p * below
		inside += d.cell[i]
		above += p * (1 - below)
	}
	if most := 2*reached + minReached; above > most && inside > minInside {
		for i := range d.cell {
			d.cell[i] *= (inside + above - most) / inside
		}
		above = most
	}
	d.atMax = m.rest + above
	return d
}

const (
	// minReached is a share of answers that reaches the maximum without having been seen.
	minReached = 0.02
	// minInside is the least probability below the maximum from which the rest is inferred.
	minInside = 0.05
)

// edge returns the value at a place on the logarithmic axis, at most the maximum.
func (d *Distribution) edge(pos float64) float64 {
	return min(math.Exp2(pos/cellsPerOctave), d.maximum)
}

// Quantile returns the length that an answer exceeds with the probability 1-q.
func (d *Distribution) Quantile(q float64) float64 {
	var sum float64
	for i, p := range d.cell {
		if p > 0 && sum+p >= q {
			return d.edge(float64(i) + (q-sum)/p)
		}
		sum += p
	}
	return d.maximum
}

// Moments returns mean and variance of the length.
func (d *Distribution) Moments() (mean, variance float64) {
	mean, variance, _ = d.beyond(0)
	return mean, variance
}

// tailMass is the share of answers below which the distribution says nothing about answers that are
// already longer: of the last 48 observations, less than one was.
const tailMass = 0.02

// Rest returns mean and variance of the tokens that follow the given number of tokens. If hardly any
// answer is as long, the rest is taken as anything up to the maximum.
func (d *Distribution) Rest(generated float64) (mean, variance float64) {
	left := max(d.maximum-generated, 0)
	total, variance, mass := d.beyond(generated)
	if mass < tailMass {
		return left / 2, left * left / 12
	}
	return min(max(total-generated, 0), left), variance
}

// beyond returns the mean and variance of the lengths above from, and their probability.
func (d *Distribution) beyond(from float64) (mean, variance, mass float64) {
	start := 0.0
	if from > 1 {
		start = position(from)
	}
	var square float64
	for i := int(min(start, cells-1)); i < cells; i++ {
		low := max(float64(i), start)
		p := d.cell[i] * max(float64(i+1)-low, 0)
		if p == 0 {
			continue
		}
		v := max(d.edge((low+float64(i+1))/2), from)
		mass, mean, square = mass+p, mean+p*v, square+p*v*v
	}
	if d.maximum > from {
		mass, mean, square = mass+d.atMax, mean+d.atMax*d.maximum, square+d.atMax*d.maximum*d.maximum
	}
	if mass <= 0 {
		return 0, 0, 0
	}
	mean, square = mean/mass, square/mass
	return mean, max(square-mean*mean, 0), mass
}
