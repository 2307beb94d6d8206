package number

import (
	"encoding/json"
	"fmt"
	"math"
	"math/big"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a document that is lost because a number in it is written in another notation of the same number.
func TestNotationsOfOneNumber(t *testing.T) {
	for _, c := range []struct {
		text        string
		floor, ceil int64
	}{
		{"8", 8, 8}, {"8.0", 8, 8}, {"8e0", 8, 8}, {"0.8E+1", 8, 8}, {"80e-1", 8, 8}, {"800.000e-2", 8, 8}, {"-8.0", -8, -8},
		{"0", 0, 0}, {"-0.0", 0, 0}, {"0e999999999999", 0, 0}, {"7.5", 7, 8}, {"-7.5", -8, -7}, {"0.001", 0, 1}, {"1e-999999999999", 0, 1},
		{"9007199254740993.0", 9007199254740993, 9007199254740993}, {"9223372036854775806.9", math.MaxInt64 - 1, math.MaxInt64},
		{"9223372036854775807", math.MaxInt64, math.MaxInt64}, {"9223372036854775807.0", math.MaxInt64, math.MaxInt64}, {"1e999999999999", math.MaxInt64, math.MaxInt64}, {"-1e30", -math.MaxInt64, -math.MaxInt64},
	} {
		var f Floor
		var ceil Ceil
		if err := json.Unmarshal([]byte(c.text), &f); err != nil || int64(f) != c.floor {
			t.Errorf("%s: rounded down %d, %v, want %d", c.text, f, err, c.floor)
		}
		if err := json.Unmarshal([]byte(c.text), &ceil); err != nil || int64(ceil) != c.ceil {
			t.Errorf("%s: rounded up %d, %v, want %d", c.text, ceil, err, c.ceil)
		}
		var w Whole
		whole := c.floor == c.ceil && !strings.HasSuffix(c.text, "e999999999999") && c.text != "-1e30" || c.text == "0e999999999999"
		if err := json.Unmarshal([]byte(c.text), &w); (err == nil) != whole || whole && int64(w) != c.floor {
			t.Errorf("%s: whole %d, %v", c.text, w, err)
		}
	}
}

// Guards against text, true, false, a list or an object that counts as a number.
func TestOtherValuesAreNoNumbers(t *testing.T) {
	for _, text := range []string{`"8"`, `true`, `false`, `[8]`, `{}`, `""`} {
		var f Floor
		var c Ceil
		var w Whole
		for _, v := range []any{&f, &c, &w} {
			if json.Unmarshal([]byte(text), v) == nil {
				t.Errorf("%s is read as %T", text, v)
			}
		}
	}
}

// Guards against digits that are lost or added when a notation is converted.
func TestWholePartIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := fmt.Sprintf("%s%d.%se%d", rapid.SampledFrom([]string{"", "-"}).Draw(t, "sign"), rapid.Uint32().Draw(t, "whole"),
			rapid.StringMatching(`[0-9]{1,12}`).Draw(t, "fraction"), rapid.IntRange(-14, 6).Draw(t, "exponent"))
		exact, ok := new(big.Rat).SetString(text)
		if !ok {
			t.Fatal(text)
		}
		want := new(big.Int).Div(exact.Num(), exact.Denom()) // Euclidean: rounded down, since the denominator is positive
		var f Floor
		if err := json.Unmarshal([]byte(text), &f); err != nil || want.Cmp(big.NewInt(int64(f))) != 0 {
			t.Fatalf("%s: %d, %v, want %v", text, f, err, want)
		}
	})
}

// Guards against conversions that overflow, whose results differ by architecture.
func TestDurationsDoNotOverflow(t *testing.T) {
	for _, c := range []struct {
		n    float64
		want time.Duration
	}{{7.5, 7500 * time.Millisecond}, {1e300, math.MaxInt64}, {-1e300, math.MinInt64}, {math.NaN(), 0}, {math.Inf(1), math.MaxInt64}} {
		if got := Duration(c.n, time.Second); got != c.want {
			t.Errorf("%v s: %d, want %d", c.n, got, c.want)
		}
	}
}
