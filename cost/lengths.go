package cost

import (
	"math"
	"time"
)

// Lengths are counted in cells of equal width on a logarithmic scale, since the lengths of answers
// differ by factors. With 8 cells per octave a cell is 9% wide.
const (
	cellsPerOctave = 8
	octaves        = 17
	cells          = cellsPerOctave * octaves
	// ratioOffset is the cell of the ratio 1 in a histogram of ratios.
	ratioOffset = cells / 2
	// memory bounds the weight of all observations of a histogram together, in observations:
	// where there are many, the last ones count for most, so that a change of the workload is
	// noticed after so many observations.
	memory = 48
	// fade is the time constant with which observations lose weight where there are few.
	fade = 25 * time.Second
)

// histogram counts the values of answers that have ended, and the values at which answers were
// cut. Of the latter it is only known that the answer would have been longer (censored
// observations). Observations fade with their age and with each later observation.
type histogram struct {
	ended, cut [cells]float32
	weight     float64 // of all observations at the time at
	at         time.Time
}

// position returns the place of v on the logarithmic axis, in cells.
func position(v float64) float64 { return cellsPerOctave * math.Log2(v) }

func cellOf(pos float64) int { return int(min(max(pos, 0), cells-1)) }

func fadeFactor(d time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp(-float64(d) / float64(fade))
}

// weightAt returns the weight of the observations at the time now.
func (h *histogram) weightAt(now time.Time) float64 { return h.weight * fadeFactor(now.Sub(h.at)) }

// add counts one observation. complete is false for an answer that was cut.
func (h *histogram) add(pos float64, complete bool, now time.Time) {
	keep := fadeFactor(now.Sub(h.at)) * (1 - 1.0/memory)
	for i := range h.ended {
		h.ended[i] *= float32(keep)
		h.cut[i] *= float32(keep)
	}
	h.weight = h.weight*keep + 1
	h.at = now
	if complete {
		h.ended[cellOf(pos)]++
		return
	}
	h.cut[cellOf(pos)]++
}

// masses is a distribution over cells. rest is the probability that the value is above all values
// that were observed to the end.
type masses struct {
	cell [cells]float64
	rest float64
}

// addTo adds the distribution, multiplied by share, to out. It is the product-limit estimate
// (Kaplan and Meier): an answer that was cut counts among the answers that may still end in the
// cells up to its cut. Without that, the estimate would be too short whenever long answers are
// cut more often than short ones.
func (h *histogram) addTo(out *masses, share float64) {
	var atRisk float64
	for i := range h.ended {
		atRisk += float64(h.ended[i]) + float64(h.cut[i])
	}
	survive := share
	for i := range h.ended {
		ended := float64(h.ended[i])
		if ended > 0 {
			p := survive * min(ended/atRisk, 1)
			out.cell[i] += p
			survive -= p
		}
		atRisk = max(atRisk-ended-float64(h.cut[i]), 1e-9)
	}
	out.rest += max(survive, 0)
}

// shifted adds the distribution of ratios m to out as a distribution of lengths: of the ratio
// times reference. Values below one token and above the largest length count in the first and in
// the last cell.
func (m *masses) shifted(out *masses, reference float64) {
	shift := position(reference) - ratioOffset
	whole := math.Floor(shift)
	part := shift - whole
	for i, p := range m.cell {
		if p == 0 {
			continue
		}
		to := float64(i) + whole
		out.cell[cellOf(to)] += p * (1 - part)
		out.cell[cellOf(to+1)] += p * part
	}
	out.rest += m.rest
}
