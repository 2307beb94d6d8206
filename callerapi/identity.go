package callerapi

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"wigeondale/fleet"
)

const (
	maxKeyBytes = 200
	maxTimeout  = 24 * time.Hour
)

// identity contains the account of a request and the values of its headers.
type identity struct {
	Account       string
	Key           string
	KeyGenerated  bool // the key was generated here, so no other request can have used it
	NonIdempotent bool
	MarkGiven     bool // the header for NonIdempotent was sent
	Priority      fleet.Priority
	HasPriority   bool
	Timeout       time.Duration // 0: not sent
}

// singleHeaders are the headers of which the first value must not be taken for the one that is meant.
var singleHeaders = []string{headerKey, headerNonIdempotent, headerPriority, headerTimeout, headerLastEvent}

func readIdentity(r *http.Request, account string) (identity, *Failure) {
	id := identity{Account: account, Key: r.Header.Get(headerKey)}
	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return id, badHeader(name, "one value")
		}
	}
	if id.Key == "" {
		id.Key = newKey()
		id.KeyGenerated = true
	}
	if !validKey(id.Key) {
		return id, badHeader(headerKey, fmt.Sprintf("1 to %d visible ASCII characters", maxKeyBytes))
	}
	if f := id.readNonIdempotent(r.Header.Get(headerNonIdempotent)); f != nil {
		return id, f
	}
	if f := id.readPriority(r.Header.Get(headerPriority)); f != nil {
		return id, f
	}
	return id, id.readTimeout(r.Header.Get(headerTimeout))
}

func badHeader(name, want string) *Failure {
	return refuse(http.StatusBadRequest, codeBadRequest, name+": want "+want)
}

func (id *identity) readNonIdempotent(text string) *Failure {
	if text == "" {
		return nil
	}
	if text != "true" && text != "false" {
		return badHeader(headerNonIdempotent, "true or false")
	}
	id.MarkGiven = true
	id.NonIdempotent = text == "true"
	return nil
}

func (id *identity) readPriority(text string) *Failure {
	if text == "" {
		return nil
	}
	p, err := fleet.ParsePriority(text)
	if err != nil {
		return badHeader(headerPriority, "interactive or batch")
	}
	id.Priority, id.HasPriority = p, true
	return nil
}

func (id *identity) readTimeout(text string) *Failure {
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return badHeader(headerTimeout, fmt.Sprintf("1 to %d", maxTimeout.Milliseconds()))
	}
	id.Timeout = time.Duration(ms) * time.Millisecond
	return nil
}

func (id *identity) deadline(defaultTimeout time.Duration) time.Time {
	if id.Timeout > 0 {
		defaultTimeout = id.Timeout
	}
	return time.Now().Add(defaultTimeout)
}

// requestID returns the request id that is sent to backend servers.
func (id *identity) requestID() string { return fleet.RequestID(id.Account, id.Key) }

func validKey(key string) bool {
	if len(key) > maxKeyBytes {
		return false
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

func newKey() string {
	var b [16]byte
	rand.Read(b[:]) // never returns an error: the runtime aborts the process instead
	return hex.EncodeToString(b[:])
}
