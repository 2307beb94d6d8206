package fleet

import (
	"fmt"
	"strconv"
)

// Revision orders the changes of a key-value service. A service that has come back from an older
// copy of its data gives out the same numbers again, for other changes. Therefore a revision holds
// the service's era, the number of times that it has come back, in front of its number: every change
// of a later era is later than every change of an earlier one. Revisions are compared as a whole.
//
// A service without eras is always in era 0, where a revision equals its number.
type Revision int64

// numberBits is the number of bits of a revision that hold the number.
const numberBits = 44

// MaxEra is the highest era of a revision.
const MaxEra = 1<<(63-numberBits) - 1

// RevisionOf returns the revision with a number of an era.
func RevisionOf(era, number int64) Revision { return Revision(era<<numberBits | number) }

// ValidNumber reports whether a revision can hold a number.
func ValidNumber(number int64) bool { return number >= 0 && number < 1<<numberBits }

// Era returns the era.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the number within the era. Only the client of the service needs it: numbers of
// different eras can't be compared.
func (r Revision) Number() int64 { return int64(r) & (1<<numberBits - 1) }

// String returns the number, after the era if that isn't 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatInt(r.Number(), 10)
	}
	return fmt.Sprintf("%d.%d", r.Era(), r.Number())
}
