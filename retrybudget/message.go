package retrybudget

import (
	"math"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("retrybudget")

// CallLoan is the kind of the call with which a router borrows from another one.
const CallLoan = "hosted.retry-loan"

// Bounds on messages, which come from other processes.
const (
	MaxCount   = 64  // retries that are borrowed in one call
	maxService = 256 // bytes of a service's name
)

// LoanRequest asks for a loan.
type LoanRequest struct {
	Service string  `cbor:"1,keyasint"`
	Count   float64 `cbor:"2,keyasint"`
	// Started says that retries of started answers wait. Without it the lender keeps its reserve.
	Started bool `cbor:"3,keyasint,omitempty"`
	// Rank orders routers that wait at the same time: the lower one lends what it holds.
	Rank uint32 `cbor:"4,keyasint,omitempty"`
}

// LoanReply states how much is lent, at most what was asked.
type LoanReply struct {
	Granted float64 `cbor:"1,keyasint"`
	// KeepMS is how long the loan may be kept, if that is shorter than Keep because the lender has
	// borrowed it.
	KeepMS uint32 `cbor:"2,keyasint,omitempty"`
}

// keep returns how long the loan may be kept.
func (r LoanReply) keep() time.Duration {
	if r.KeepMS == 0 || r.KeepMS >= uint32(Keep/time.Millisecond) {
		return Keep
	}
	return time.Duration(r.KeepMS) * time.Millisecond
}

// Check returns an error if a field is out of bounds.
func (r LoanRequest) Check() error {
	if r.Service == "" || len(r.Service) > maxService {
		return Error.New("name of a service with %d bytes", len(r.Service))
	}
	if !(r.Count > 0 && r.Count <= MaxCount) { // false for NaN too
		return Error.New("loan of %v retries", r.Count)
	}
	return nil
}

// check returns an error if the reply doesn't fit the request.
func (r LoanReply) check(to LoanRequest) error {
	if math.IsNaN(r.Granted) || r.Granted < 0 || r.Granted > to.Count+tolerance {
		return Error.New("loan of %v retries, %v were asked", r.Granted, to.Count)
	}
	return nil
}
