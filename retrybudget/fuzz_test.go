package retrybudget

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// FuzzLoan checks that no message of another process, whatever its size and values, lends or credits more than the bounds
// allow.
func FuzzLoan(f *testing.F) {
	for _, r := range []LoanRequest{
		{"s", 1, true, 7}, {"", -1, false, 0}, {"s", math.NaN(), false, 0}, {"s", math.Inf(1), false, 0}, {"s", MaxCount + 1, true, 0},
	} {
		b, err := cbor.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var r LoanRequest
		if cbor.Unmarshal(raw, &r) == nil && r.Check() == nil {
			lender := New(Config{Burst: 1000, Window: testWindow, Start: -testWindow})
			if got := lender.Lend(0, 1, r).Granted; !(got >= 0 && got <= MaxCount) || len(r.Service) > maxService {
				t.Fatalf("lent %v of %+v", got, r)
			}
		}
		var reply LoanReply
		if cbor.Unmarshal(raw, &reply) == nil {
			borrower := New(Config{Window: testWindow})
			borrower.Granted(0, 0, LoanRequest{Service: "s", Count: 1}, reply)
			if got := borrower.borrowed(0); !(got >= 0 && got <= 1+tolerance) {
				t.Fatalf("credit of %v from %+v", got, reply)
			}
		}
	})
}
