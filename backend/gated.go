package backend

import (
	"net/http"
	"time"

	"wigeondale/fleet"
)

// Headers with which backend servers that speak the product's own protocol state what they ask
// (docs/BACKEND.md).
const (
	limitHeader   = "Wigeon-Limit"
	leavingHeader = "Wigeon-Leaving"
	leavingValue  = "1"
)

// knownHeaders are the headers of the product's own protocol.
var knownHeaders = []string{incarnationHeader, requestIDHeader}

// KnownHeaders returns the headers of answers that the clients of this package know.
func KnownHeaders() []string { return knownHeaders }

// sendWork sends a request that starts work at b, if the gate permits it, and reports to the gate what
// the answer states. A nil gate permits all requests.
func sendWork(conns *Conns, gate Gate, unknown *UnknownHeaders, b fleet.Backend, x Exchange) (*http.Response, error) {
	sentAt := time.Now()
	if gate != nil {
		if err := gate.Permit(b, Work, sentAt); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	resp, err := conns.RoundTrip(x)
	if err != nil {
		return nil, err
	}
	unknown.Observe(b.Service, resp.Header)
	if gate != nil {
		gate.Observe(b, sentAt, time.Now(), statementOf(resp))
	}
	return resp, nil
}

func statementOf(resp *http.Response) Statement {
	s := Statement{Incarnation: resp.Header.Get(incarnationHeader)}
	s.ParseLimit(resp.Header.Values(limitHeader))
	s.Leaving = resp.Header.Get(leavingHeader) == leavingValue
	s.ParseRest(resp.StatusCode, resp.Header, time.Now())
	return s
}
