package backend

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"wigeondale/bounded"
)

func decodeResponse(resp *http.Response, v any) error {
	if resp.StatusCode != http.StatusOK {
		return parseRefusal(resp)
	}
	defer resp.Body.Close()
	if err := bounded.DecodeJSON(resp, maxAnswerBytes, v); err != nil {
		return Error.New("%w: %w", answerError(err), err)
	}
	return nil
}

// answerError returns ErrBroken if an answer ended early, and ErrMismatch if it is no answer.
func answerError(err error) error {
	_, syntax := errors.AsType[*json.SyntaxError](err)
	_, wrongType := errors.AsType[*json.UnmarshalTypeError](err)
	if syntax || wrongType || errors.Is(err, bounded.ErrTooLong) {
		return ErrMismatch
	}
	return ErrBroken
}

// unknownStream returns ErrUnknownStream, which resp states, unless resp is malformed.
func unknownStream(resp *http.Response) error {
	if err := bounded.Drain(resp.Body, maxRefusalBytes); err != nil {
		return Error.New("%w: %w", ErrBroken, err)
	}
	return Error.Wrap(ErrUnknownStream)
}

// parseRefusal converts an answer with a status other than 200 into an error. Only a
// documented refusal status with an error code becomes *Refused ("not run"). A 500 or a
// proxy's 503 may come after the request has run, so such an answer becomes ErrBroken.
func parseRefusal(resp *http.Response) error {
	defer resp.Body.Close()
	var body struct {
		Error struct {
			Message string `json:"message"`
			Code    string `json:"code"`
		} `json:"error"`
	}
	err := errors.Join(bounded.DecodeJSON(resp, maxRefusalBytes, &body), context.Cause(resp.Request.Context()))
	if err != nil || body.Error.Code == "" || !isRefusalStatus(resp.StatusCode) {
		return Error.New("%w: status %d without a valid refusal", ErrBroken, resp.StatusCode)
	}
	return Error.Wrap(&Refused{
		Status: resp.StatusCode, Code: body.Error.Code, Message: body.Error.Message,
		RetryAfter: parseRetryAfter(resp.Header.Get("Retry-After")),
	})
}

func isRefusalStatus(code int) bool {
	switch code {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func parseRetryAfter(s string) time.Duration {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}
