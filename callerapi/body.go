package callerapi

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"wigeondale/bounded"
	"wigeondale/listen"
)

// format is one of the two formats of a generation's request and answer.
type format int

const (
	completions format = iota
	chat
)

const maxDepth = 32 // maximum nesting depth of a body

// params contains the fields of a body that this package uses. Other fields, such as
// temperature, are accepted because common clients send them, and have no effect.
type params struct {
	Model      string
	Prompt     string
	MaxTokens  int
	Stream     bool
	ResumeText *string // nil: not in the body
	Hash       [16]byte
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// bodyRetry is when a caller may repeat a request whose body found no memory.
const bodyRetry = time.Second

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Failure) {
	stated := r.ContentLength
	if stated > s.BodyBytes {
		stated = -1 // MaxBytesReader refuses it
	}
	raw, err := bounded.ReadHeld(r.Context(), http.MaxBytesReader(w, r.Body, s.BodyBytes), stated, s.BodyBytes, listen.Hold(r))
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body isn't read
		return nil, bodyFailure(err)
	}
	return raw, nil
}

func invalidBody(text string) *Failure {
	return refuse(http.StatusBadRequest, codeBadRequest, text)
}

// parseBody decodes a body. Field names are matched case-sensitively, because
// the hash of the body is computed over the exact names.
func (s *Server) parseBody(raw []byte, form format) (params, *Failure) {
	out := params{MaxTokens: s.DefaultTokens}
	if tooDeep(raw) {
		return out, invalidBody(fmt.Sprintf("the body is nested deeper than %d", maxDepth))
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil || fields == nil {
		return out, invalidBody("the body is not a JSON object")
	}
	p := fieldReader{fields: fields}
	p.read("model", &out.Model, "a string")
	p.read("max_tokens", &out.MaxTokens, "an integer")
	p.read("stream", &out.Stream, "true or false")
	p.read("resume_text", &out.ResumeText, "a string")
	p.requireOne("n")
	p.requireOne("best_of")
	out.Prompt = p.prompt(form)
	if out.Model == "" {
		p.fail("model: want a non-empty string")
	}
	if out.MaxTokens < 1 || out.MaxTokens > s.MaxTokens {
		p.fail(fmt.Sprintf("max_tokens: want 1 to %d", s.MaxTokens))
	}
	out.Hash = hashBody(fields, form)
	return out, p.failure
}

// fieldReader decodes the fields of a request body and records the first field that is
// invalid as a Failure.
type fieldReader struct {
	fields  map[string]json.RawMessage
	failure *Failure
}

func (p *fieldReader) fail(text string) {
	if p.failure == nil {
		p.failure = invalidBody(text)
	}
}

func (p *fieldReader) read(name string, v any, want string) {
	raw, ok := p.fields[name]
	if !ok || string(raw) == "null" {
		return
	}
	if json.Unmarshal(raw, v) != nil {
		p.fail(name + ": want " + want)
	}
}

// requireOne refuses a request for several answers, because only one answer is generated.
func (p *fieldReader) requireOne(name string) {
	n := 1
	p.read(name, &n, "1")
	if n != 1 {
		p.fail(name + ": want 1")
	}
}

func (p *fieldReader) prompt(form format) string {
	if form == chat {
		return p.messages()
	}
	var prompt string
	p.read("prompt", &prompt, "a string")
	if prompt == "" {
		p.fail("prompt: want a non-empty string")
	}
	return prompt
}

// messages renders a conversation with the template in docs/API.md.
func (p *fieldReader) messages() string {
	var list []message
	p.read("messages", &list, "an array of {role, content} with text content")
	if len(list) == 0 {
		p.fail("messages: want at least one")
	}
	var b strings.Builder
	for i, m := range list {
		if m.Role != "system" && m.Role != "user" && m.Role != "assistant" {
			p.fail(fmt.Sprintf("messages[%d].role: want system, user or assistant", i))
		}
		b.WriteString("<|" + m.Role + "|>\n" + m.Content + "\n")
	}
	b.WriteString("<|assistant|>\n")
	return b.String()
}

// hashBody returns a hash that identifies the request. It leaves out the fields that a
// reconnect changes, and includes all other fields, even fields without effect.
func hashBody(fields map[string]json.RawMessage, form format) [16]byte {
	rest := make(map[string]json.RawMessage, len(fields))
	for name, raw := range fields {
		if name != "resume_text" && name != "stream" {
			rest[name] = raw
		}
	}
	text, _ := json.Marshal(rest) // can't fail: the values are valid JSON; names are sorted
	sum := sha256.Sum256(append([]byte{byte(form)}, text...))
	return [16]byte(sum[:16])
}

// tooDeep reports whether the body is nested deeper than maxDepth. It is called before any
// decoder that recurses over the body.
func tooDeep(raw []byte) bool {
	depth := 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = stringEnd(raw, i)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > maxDepth {
			return true
		}
	}
	return false
}

// stringEnd returns the index of the closing quote of the string that starts at
// i.
func stringEnd(raw []byte, i int) int {
	for i++; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			return i
		case '\\':
			i++ // the escaped character
		}
	}
	return i
}
