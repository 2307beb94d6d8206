// Package number reads numbers that other programs write.
//
// JSON has one type of number and several notations: 8, 8.0 and 8e0 are the same number, and programs choose among them. A reader
// that takes only the digits of an integer loses the document in which another notation stands, and with it all of its other values.
// The types of this package read each notation, without loss for whole numbers of up to 64 bits. Each type says what a fraction
// means: durations and shares are float64 and keep it, counts are rounded to the side on which no limit is exceeded, and
// identifiers have none.
package number

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("number")

var errFraction = Error.New("not a whole number")

// Floor is a count that is rounded down, such as a limit. A number out of range is the nearest that can be held.
type Floor int64

// UnmarshalJSON implements json.Unmarshaler.
func (f *Floor) UnmarshalJSON(text []byte) error {
	return unmarshal(text, func(n parts) error {
		if n.fraction && n.negative {
			n.whole--
		}
		*f = Floor(n.whole)
		return nil
	})
}

// Int returns the number as an int of 32 bits, or the nearest.
func (f Floor) Int() int { return clamp(int64(f)) }

// Ceil is a count that is rounded up, such as an amount of work or a rank. A number out of range is the nearest that can be held.
type Ceil int64

// UnmarshalJSON implements json.Unmarshaler.
func (c *Ceil) UnmarshalJSON(text []byte) error {
	return unmarshal(text, func(n parts) error {
		if n.fraction && !n.negative {
			n.whole = min(n.whole, math.MaxInt64-1) + 1
		}
		*c = Ceil(n.whole)
		return nil
	})
}

// Int returns the number as an int of 32 bits, or the nearest.
func (c Ceil) Int() int { return clamp(int64(c)) }

// Whole is a whole number, such as an identifier or a revision: rounding would make it another one.
type Whole int64

// UnmarshalJSON implements json.Unmarshaler.
func (w *Whole) UnmarshalJSON(text []byte) error {
	return unmarshal(text, func(n parts) error {
		switch {
		case n.fraction:
			return errFraction
		case n.overflow:
			return Error.New("%.40s is out of range", text)
		}
		*w = Whole(n.whole)
		return nil
	})
}

func clamp(n int64) int { return int(min(max(n, math.MinInt32), math.MaxInt32)) }

// parts are those of a number.
type parts struct {
	whole    int64 // the part before the point, or the nearest that can be held
	fraction bool  // there is more than the whole part
	negative bool
	overflow bool // the whole part is out of range
}

// unmarshal calls set with the parts of a JSON number. Like encoding/json, it leaves a value unchanged for null.
func unmarshal(text []byte, set func(parts) error) error {
	if n, ok := digits(text); ok {
		return set(parts{whole: n})
	}
	if string(text) == "null" {
		return nil
	}
	if len(text) == 0 || text[0] != '-' && (text[0] < '0' || text[0] > '9') || !json.Valid(text) {
		return Error.New("want a number, got %.40s", text)
	}
	return set(split(string(text)))
}

// digits returns a number that is written as up to 18 digits, which always fit: the usual notation.
func digits(text []byte) (n int64, ok bool) {
	if len(text) == 0 || len(text) > 18 || text[0] == '0' && len(text) > 1 {
		return 0, false
	}
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = 10*n + int64(c-'0')
	}
	return n, true
}

// maxExponent is above the number of digits of any document.
const maxExponent = 1 << 30

// split returns the parts of a valid JSON number.
func split(text string) (n parts) {
	text, n.negative = strings.CutPrefix(text, "-")
	mantissa, exponent := text, 0
	if i := strings.IndexAny(text, "eE"); i >= 0 {
		mantissa, exponent = text[:i], parseExponent(text[i+1:])
	}
	before, after, _ := strings.Cut(mantissa, ".")
	significant := strings.TrimRight(before+after, "0")
	// The number is 0.SIGNIFICANT times ten to the power of point.
	point := len(before) + exponent
	leading := len(significant) - len(strings.TrimLeft(significant, "0"))
	significant, point = significant[leading:], point-leading
	n.fraction = len(significant) > max(point, 0)
	if significant != "" && point > 0 {
		n.whole, n.overflow = shift(significant, point)
	}
	if n.negative {
		n.whole = -n.whole
	}
	return n
}

func parseExponent(text string) int {
	exponent, err := strconv.Atoi(text)
	switch {
	case err == nil:
		return min(max(exponent, -maxExponent), maxExponent)
	case strings.HasPrefix(text, "-"):
		return -maxExponent
	}
	return maxExponent
}

// shift returns the number that the first digits are, as many as point says, with zeros behind them if there are fewer.
func shift(digits string, point int) (n int64, overflow bool) {
	const maxDigits = 19 // of an int64
	if point > maxDigits {
		return math.MaxInt64, true
	}
	digits = (digits + strings.Repeat("0", maxDigits))[:point]
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return math.MaxInt64, true
	}
	return n, false
}

// Int returns the whole part of n as an int of 32 bits, or the nearest. Not a number is 0.
func Int(n float64) int {
	if n != n {
		return 0
	}
	return int(min(max(n, math.MinInt32), math.MaxInt32))
}

// Duration returns a number of units as a duration, or the nearest that can be held. Not a number is 0.
func Duration(n float64, unit time.Duration) time.Duration {
	d := n * float64(unit)
	switch {
	case d != d:
		return 0
	case d >= math.MaxInt64:
		return math.MaxInt64
	case d <= math.MinInt64:
		return math.MinInt64
	}
	return time.Duration(d)
}
