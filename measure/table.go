package measure

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Table is a table of results.
type Table struct {
	Name    string // also part of the name of the CSV file
	Columns []string
	Rows    [][]string
}

// Add appends a row.
func (t *Table) Add(cells ...string) { t.Rows = append(t.Rows, cells) }

// Save prints a table and writes it as CSV.
func (e *Env) Save(t *Table) error {
	fmt.Fprintf(e.Stdout, "\n%s: %s\n", e.name, t.Name)
	w := tabwriter.NewWriter(e.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, strings.Join(t.Columns, "\t")+"\t")
	for _, row := range t.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t")+"\t")
	}
	if err := w.Flush(); err != nil {
		return Error.Wrap(err)
	}
	f, err := os.Create(filepath.Join(e.Out, e.name+"-"+t.Name+".csv"))
	if err != nil {
		return Error.Wrap(err)
	}
	out := csv.NewWriter(f)
	if err := out.WriteAll(append([][]string{t.Columns}, t.Rows...)); err != nil {
		f.Close()
		return Error.Wrap(err)
	}
	return Error.Wrap(f.Close())
}

// Point is one labelled point of a plot.
type Point struct {
	Label string
	X, Y  float64
}

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// SavePlot writes labelled points as SVG.
func (e *Env) SavePlot(name, title, x, y string, points []Point) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.X.Min, p.Y.Min = 0, 0
	labels := plotter.XYLabels{}
	for _, pt := range points {
		labels.XYs = append(labels.XYs, plotter.XY{X: pt.X, Y: pt.Y})
		labels.Labels = append(labels.Labels, pt.Label)
	}
	dots, err := plotter.NewScatter(labels.XYs)
	if err != nil {
		return Error.Wrap(err)
	}
	dots.Shape = draw.CircleGlyph{}
	names, err := plotter.NewLabels(labels)
	if err != nil {
		return Error.Wrap(err)
	}
	names.Offset = vg.Point{X: 4, Y: 4}
	p.Add(plotter.NewGrid(), dots, names)
	return Error.Wrap(p.Save(plotWidth, plotHeight, filepath.Join(e.Out, e.name+"-"+name+".svg")))
}

// Range and precision of the histograms, which count microseconds.
const (
	histMax    = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3
)

func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(1, histMax, histDigits) }

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histMax)) // cannot fail: the value is within the range
}

// quantileMS returns a quantile in milliseconds, or "-" if there are no values.
func quantileMS(h *hdrhistogram.Histogram, q float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", float64(h.ValueAtQuantile(q))/1000)
}
