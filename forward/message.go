package forward

import (
	"math"
	"net/http"
	"time"

	"wigeondale/backend"
	"wigeondale/bounded"
	"wigeondale/clock"
	"wigeondale/fleet"
	"wigeondale/generation"
)

// startMessage is the first message of a stream: the request without its body, which follows as a
// message of its own if BodyBytes is not 0.
type startMessage struct {
	ID            string       `cbor:"1,keyasint"`
	Account       string       `cbor:"2,keyasint,omitempty"`
	Priority      uint8        `cbor:"3,keyasint,omitempty"`
	NonIdempotent bool         `cbor:"4,keyasint,omitempty"`
	TimeLeftMS    int64        `cbor:"5,keyasint,omitempty"` // until the caller's deadline; 0: there is none
	Retry         bool         `cbor:"6,keyasint,omitempty"`
	Version       int64        `cbor:"7,keyasint,omitempty"` // of the configuration by which the request was admitted
	BodyBytes     int          `cbor:"8,keyasint,omitempty"`
	Opaque        *opaqueStart `cbor:"9,keyasint,omitempty"`
	Model         *modelStart  `cbor:"10,keyasint,omitempty"`
	Resume        *resumePoint `cbor:"11,keyasint,omitempty"`
	// Stream takes the place of Opaque for a stream that has to stay at one software version. A build
	// that doesn't know the field rejects the request, and doesn't run it at any version.
	Stream *opaqueStart `cbor:"12,keyasint,omitempty"`
	// Answer takes the place of Model for an answer that has begun at a software version, for the same
	// reason.
	Answer *modelStart `cbor:"13,keyasint,omitempty"`
}

// opaqueStart describes an opaque request.
type opaqueStart struct {
	Method           string      `cbor:"1,keyasint"`
	Target           string      `cbor:"2,keyasint"`
	Host             string      `cbor:"3,keyasint"`
	Header           http.Header `cbor:"4,keyasint,omitempty"`
	Route            string      `cbor:"5,keyasint"`
	Service          string      `cbor:"6,keyasint"`
	Streaming        bool        `cbor:"7,keyasint,omitempty"`
	Resumable        bool        `cbor:"8,keyasint,omitempty"`
	Urgency          int         `cbor:"9,keyasint,omitempty"` // the configured one, 0 if there is none
	FirstChunk       int         `cbor:"10,keyasint"`
	PromptTokens     int         `cbor:"11,keyasint,omitempty"`
	MaxAnswerTokens  int         `cbor:"12,keyasint,omitempty"`
	PromptParts      []string    `cbor:"13,keyasint,omitempty"`
	HasPartialAnswer bool        `cbor:"14,keyasint,omitempty"`
	MaxAttempts      int         `cbor:"15,keyasint"`
	MaxWaitMS        int64       `cbor:"16,keyasint,omitempty"`
	TargetMS         int64       `cbor:"17,keyasint,omitempty"`
	SinceFirstTryMS  int64       `cbor:"18,keyasint,omitempty"`
	KeepsCopies      bool        `cbor:"19,keyasint,omitempty"`
	MakesCopies      bool        `cbor:"20,keyasint,omitempty"`
	BeganAs          string      `cbor:"21,keyasint,omitempty"`
	Binding          *binding    `cbor:"22,keyasint,omitempty"` // nil before the first chunk
	Model            string      `cbor:"23,keyasint,omitempty"`
	LengthHint       int         `cbor:"24,keyasint,omitempty"`
	Form             *answerForm `cbor:"25,keyasint,omitempty"` // nil before the first chunk
}

// answerForm is the form of the answer of which the caller has a part.
type answerForm struct {
	Status    int    `cbor:"1,keyasint"`
	MediaType string `cbor:"2,keyasint,omitempty"`
}

// binding is the software version at which a stream began.
type binding struct {
	Version string `cbor:"1,keyasint,omitempty"`
	Unknown bool   `cbor:"2,keyasint,omitempty"`
}

// modelStart describes a request of the product's own interface. Its body is the prompt.
type modelStart struct {
	Ref       fleet.ModelRef `cbor:"1,keyasint"`
	MaxTokens int            `cbor:"2,keyasint"`
	BodyHash  [16]byte       `cbor:"3,keyasint"`
}

type resumePoint struct {
	Backend     string `cbor:"1,keyasint,omitempty"`
	Incarnation string `cbor:"2,keyasint,omitempty"`
	Attempt     int    `cbor:"3,keyasint,omitempty"`
	Offset      int    `cbor:"4,keyasint,omitempty"`
	Text        string `cbor:"5,keyasint,omitempty"`
	HaveText    bool   `cbor:"6,keyasint,omitempty"`
	Software    string `cbor:"7,keyasint,omitempty"`
}

// answerKind is the kind of a message of the answer.
type answerKind uint8

const (
	answerAlive answerKind = iota // the request is in progress
	answerBegin                   // an attempt delivers from now on
	answerToken
	answerEnd // the last message
)

// answerMessage is one message of the answer.
type answerMessage struct {
	Kind answerKind `cbor:"1,keyasint"`

	// Of answerBegin.
	Backend     string      `cbor:"2,keyasint,omitempty"`
	Incarnation string      `cbor:"3,keyasint,omitempty"`
	Attempt     int         `cbor:"4,keyasint,omitempty"`
	Status      int         `cbor:"5,keyasint,omitempty"` // 0: the attempt has no head
	Header      http.Header `cbor:"6,keyasint,omitempty"`
	Software    string      `cbor:"13,keyasint,omitempty"`

	// Of answerToken.
	Index  int    `cbor:"7,keyasint,omitempty"`
	Text   []byte `cbor:"8,keyasint,omitempty"`
	Finish string `cbor:"9,keyasint,omitempty"`

	// Of answerEnd.
	Outcome      fleet.Outcome `cbor:"10,keyasint,omitempty"`
	Code         string        `cbor:"11,keyasint,omitempty"`
	RetryAfterMS int64         `cbor:"12,keyasint,omitempty"`
}

func (m *answerMessage) position() generation.Position {
	return generation.Position{Backend: m.Backend, Incarnation: m.Incarnation, Attempt: m.Attempt, Software: m.Software}
}

func (m *answerMessage) head() *backend.Head {
	if m.Status == 0 {
		return nil
	}
	return &backend.Head{Status: m.Status, Header: m.Header}
}

func (m *answerMessage) end() *generation.RemoteEnd {
	return &generation.RemoteEnd{Outcome: m.Outcome, Code: m.Code, RetryAfter: fromMS(m.RetryAfterMS)}
}

// encode returns the messages that pass a request on: the start message and the body. oneVersion
// states that the service of the request has had one software version only, so that any build may run it.
func encode(h generation.Handover, version int64, oneVersion bool) (startMessage, []byte) {
	req := &h.Request
	m := startMessage{
		ID: req.ID, Account: req.Account, Priority: uint8(req.Priority), NonIdempotent: req.NonIdempotent,
		TimeLeftMS: timeLeftMS(req), Retry: h.Retry, Version: version,
	}
	if p := req.Resume; p != nil {
		m.Resume = &resumePoint{p.Backend, p.Incarnation, p.Attempt, p.Offset, p.Text, p.HaveText, p.Software}
	}
	var body []byte
	if o := req.Opaque; o != nil {
		start := encodeOpaque(o)
		if b := req.Binding; b != nil {
			start.Binding = &binding{b.Version, b.Unknown}
		}
		if o.Form != nil {
			start.Form = &answerForm{o.Form.Status, o.Form.MediaType}
		}
		if o.Streaming && o.Resumable && !oneVersion {
			m.Stream = start
		} else {
			m.Opaque = start
		}
		body = o.Body
	} else {
		start := &modelStart{req.Ref, req.MaxTokens, req.BodyHash}
		if p := req.Resume; p != nil && p.Software != "" {
			m.Answer = start
		} else {
			m.Model = start
		}
		body = []byte(req.Prompt)
	}
	m.BodyBytes = len(body)
	return m, body
}

func encodeOpaque(o *generation.Opaque) *opaqueStart {
	return &opaqueStart{
		Method: o.Method, Target: o.Target, Host: o.Host, Header: o.Header, Route: o.Route, Service: o.Service,
		Streaming: o.Streaming, Resumable: o.Resumable, Urgency: o.StatedPriority, FirstChunk: o.FirstChunk,
		PromptTokens: o.PromptTokens, MaxAnswerTokens: o.MaxAnswerTokens, PromptParts: o.PromptParts,
		HasPartialAnswer: o.HasPartialAnswer, MaxAttempts: o.MaxAttempts, MaxWaitMS: o.MaxWait.Milliseconds(),
		TargetMS: o.FirstChunkTarget.Milliseconds(), SinceFirstTryMS: o.SinceFirstTry.Milliseconds(),
		KeepsCopies: o.Copies.KeptUpToDate, MakesCopies: o.Copies.OnDemand, BeganAs: o.BeganAs, Model: o.Model,
		LengthHint: o.LengthHint,
	}
}

// timeLeftMS returns the time until the caller's deadline. It is at least 1 if there is one.
func timeLeftMS(req *generation.Request) int64 {
	switch {
	case req.Opaque != nil && !req.Opaque.Deadline.IsZero():
		return max(req.Opaque.Deadline.Remaining().Milliseconds(), 1)
	case !req.Deadline.IsZero():
		return max(time.Until(req.Deadline).Milliseconds(), 1)
	}
	return 0
}

// request returns the request that a start message and a body describe.
func (m *startMessage) request(body []byte) generation.Request {
	req := generation.Request{
		ID: m.ID, Account: m.Account, Priority: fleet.Priority(m.Priority), NonIdempotent: m.NonIdempotent,
		Forwarded: true, Retry: m.Retry,
	}
	if m.TimeLeftMS > 0 {
		req.Deadline = time.Now().Add(fromMS(m.TimeLeftMS))
	}
	if p := m.Resume; p != nil {
		req.Resume = &generation.ResumePoint{
			Backend: p.Backend, Incarnation: p.Incarnation, Attempt: p.Attempt, Offset: p.Offset, Text: p.Text, HaveText: p.HaveText,
			Software: p.Software,
		}
	}
	if start := m.modelStart(); start != nil {
		req.Ref, req.MaxTokens, req.BodyHash, req.Prompt = start.Ref, start.MaxTokens, start.BodyHash, string(body)
		return req
	}
	req.Opaque = m.opaque(body)
	if b := m.opaqueStart().Binding; b != nil {
		req.Binding = &generation.Binding{Version: b.Version, Unknown: b.Unknown}
	}
	return req
}

// modelStart returns the description of a request of the product's own interface, or nil.
func (m *startMessage) modelStart() *modelStart {
	if m.Answer != nil {
		return m.Answer
	}
	return m.Model
}

// opaqueStart returns the description of an opaque request, or nil.
func (m *startMessage) opaqueStart() *opaqueStart {
	if m.Stream != nil {
		return m.Stream
	}
	return m.Opaque
}

func (m *startMessage) opaque(body []byte) *generation.Opaque {
	o := m.opaqueStart()
	out := &generation.Opaque{
		Opaque: &backend.Opaque{
			Method: o.Method, Target: o.Target, Host: o.Host, Header: o.Header, Body: body, Route: o.Route, Account: m.Account,
			Streaming: o.Streaming, Resumable: o.Resumable, Urgency: o.Urgency, StatedPriority: o.Urgency,
		},
		Service: o.Service, FirstChunk: o.FirstChunk, PromptTokens: o.PromptTokens, MaxAnswerTokens: o.MaxAnswerTokens,
		PromptParts: o.PromptParts, HasPartialAnswer: o.HasPartialAnswer, MaxAttempts: o.MaxAttempts,
		MaxWait: fromMS(o.MaxWaitMS), FirstChunkTarget: fromMS(o.TargetMS), SinceFirstTry: fromMS(o.SinceFirstTryMS),
		Copies: generation.Copying{KeptUpToDate: o.KeepsCopies, OnDemand: o.MakesCopies}, BeganAs: o.BeganAs, Model: o.Model,
		LengthHint: max(o.LengthHint, 0),
	}
	if o.Form != nil {
		out.Form = &backend.Form{Status: o.Form.Status, MediaType: o.Form.MediaType}
	}
	if m.TimeLeftMS > 0 {
		out.Deadline = clock.DeadlineIn(fromMS(m.TimeLeftMS))
	}
	return out
}

// memory returns the memory of the request while it runs.
func (m *startMessage) memory() int64 {
	sum := int64(m.BodyBytes)
	if o := m.opaqueStart(); o != nil {
		sum += bounded.HeaderMemory(o.Header)
	}
	if m.Resume != nil {
		sum += int64(len(m.Resume.Text))
	}
	return sum
}

func (m *startMessage) valid() bool {
	kinds := 0
	for _, given := range []bool{m.Opaque != nil, m.Stream != nil, m.Model != nil, m.Answer != nil} {
		if given {
			kinds++
		}
	}
	if m.ID == "" || kinds != 1 || m.BodyBytes < 0 || m.TimeLeftMS < 0 {
		return false
	}
	if o := m.opaqueStart(); o != nil {
		return o.valid()
	}
	return m.Resume == nil || m.Resume.Offset >= 0 && m.Resume.Attempt >= 0
}

// maxChunk is the largest number of a chunk of an opaque answer, so that the one after it is a number, too.
const maxChunk = math.MaxInt32 - 1

// valid reports whether the message states which part of an answer is wanted. Without that, chunks that the client has would count
// as missing, or missing ones as present.
func (o *opaqueStart) valid() bool {
	switch {
	case !o.Streaming:
		return true
	case o.FirstChunk < 1 || o.FirstChunk > maxChunk+1:
		return false
	case o.FirstChunk == 1:
		return !o.HasPartialAnswer // the other router could not read where the client wants to go on
	}
	return o.HasPartialAnswer && o.Resumable
}

func fromMS(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
