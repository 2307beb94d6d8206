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
	return unmarshal(text, func(whole int64, fraction bool, negative bool) error {
		if fraction && negative {
			whole--
		}
		*f = Floor(whole)
		return nil
	})
}

// Int returns the number as an int of 32 bits, or the nearest.
func (f Floor) Int() int { return clamp(int64(f)) }

// Ceil is a count that is rounded up, such as an amount of work or a rank. A number out of range is the nearest that can be held.
type Ceil int64

// UnmarshalJSON implements json.Unmarshaler.
func (c *Ceil) UnmarshalJSON(text []byte) error {
	return unmarshal(text, func(whole int64, fraction bool, negative bool) error {
		if fraction && !negative {
			whole = min(whole, math.MaxInt64-1) + 1
		}
		*c = Ceil(whole)
		return nil
	})
}

// Int returns the number as an int of 32 bits, or the nearest.
func (c Ceil) Int() int { return clamp(int64(c)) }

// Whole is a whole number, such as an identifier or a revision: rounding would make it another one.
type Whole int64

// UnmarshalJSON implements json.Unmarshaler.
func (w *Whole) UnmarshalJSON(text []byte) error {
	return unmarshal(text, func(whole int64, fraction bool, negative bool) error {
		switch {
		case fraction:
			return errFraction
		case whole == math.MaxInt64 || whole == -math.MaxInt64:
			return Error.New("%.40s is out of range", text)
		}
		*w = Whole(whole)
		return nil
	})
}

func clamp(n int64) int { return int(min(max(n, math.MinInt32), math.MaxInt32)) }

// unmarshal calls set with the whole part of a JSON number, or the nearest int64, and whether the number has a fraction beside it and
// is negative. Like encoding/json, it leaves a value unchanged for null.
func unmarshal(text []byte, set func(whole int64, fraction, negative bool) error) error {
	if string(text) == "null" {
		return nil
	}
	if len(text) == 0 || text[0] != '-' && (text[0] < '0' || text[0] > '9') || !json.Valid(text) {
		return Error.New("want a number, got %.40s", text)
	}
	return set(split(string(text)))
}

// maxExponent is above the number of digits of any document.
const maxExponent = 1 << 30

// split returns the whole part of a valid JSON number.
func split(text string) (whole int64, fraction, negative bool) {
	text, negative = strings.CutPrefix(text, "-")
	mantissa, exponent := text, 0
	if i := strings.IndexAny(text, "eE"); i >= 0 {
		mantissa = text[:i]
		var err error
		if exponent, err = strconv.Atoi(text[i+1:]); err != nil { // out of range
			exponent = maxExponent
			if text[i+1] == '-' {
				exponent = -maxExponent
			}
		}
		exponent = min(max(exponent, -maxExponent), maxExponent)
	}
	before, after, _ := strings.Cut(mantissa, ".")
	digits := strings.TrimRight(before+after, "0")
	// The number is 0.DIGITS times ten to the power of point.
	point := len(before) + exponent
	leading := len(digits) - len(strings.TrimLeft(digits, "0"))
	digits, point = digits[leading:], point-leading
	switch {
	case digits == "":
		return 0, false, negative
	case point <= 0:
		return 0, true, negative
	}
	fraction = len(digits) > point
	const maxDigits = 19 // of an int64
	magnitude := int64(math.MaxInt64)
	if point <= maxDigits {
		if fraction {
			digits = digits[:point]
		}
		if n, err := strconv.ParseInt(digits+strings.Repeat("0", point-len(digits)), 10, 64); err == nil {
			magnitude = n
		}
	}
	if negative {
		return -magnitude, fraction, true
	}
	return magnitude, fraction, false
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
