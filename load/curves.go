package load

import (
	"encoding/csv"
	"io"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ticksPerHalfDistance is the number of points of a percentile curve between one percentile
// and the next one that is half as far from 100%: from 0% to 50%, from 50% to 75%, and so
// on.
const ticksPerHalfDistance = 5

// WriteCurves writes the percentile curve of each class and measure as CSV. The columns are
// the class, the measure, the percentile, its value in milliseconds, and the number of
// samples up to that value.
func (r *Result) WriteCurves(w io.Writer) error {
	out := csv.NewWriter(w)
	rows := [][]string{{"class", "measure", "percentile", "ms", "count"}}
	for _, c := range r.Classes {
		rows = append(rows, curve(c.Name, "first_token", c.firstToken)...)
		rows = append(rows, curve(c.Name, "token_gap", c.gap)...)
		rows = append(rows, curve(c.Name, "resume_latency", c.resume)...)
		rows = append(rows, curve(c.Name, "whole_answer", c.completeAnswer)...)
	}
	return Error.Wrap(out.WriteAll(rows))
}

func curve(class, measure string, h *hdrhistogram.Histogram) [][]string {
	if h.TotalCount() == 0 {
		return nil
	}
	var rows [][]string
	for _, b := range h.CumulativeDistributionWithTicks(ticksPerHalfDistance) {
		rows = append(rows, []string{
			class, measure,
			strconv.FormatFloat(b.Quantile, 'f', 4, 64),
			strconv.FormatFloat(float64(b.ValueAt)/1000, 'f', 3, 64),
			strconv.FormatInt(b.Count, 10),
		})
	}
	return rows
}
