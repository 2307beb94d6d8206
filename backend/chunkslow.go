package backend

import (
	"github.com/valyala/fastjson"
)

// parseChunkSlow parses a chunk in any JSON layout and checks that it belongs to
// this stream.
func (s *Stream) parseChunkSlow(data []byte) (Token, error) {
	v, err := s.parser.ParseBytes(data)
	if err != nil {
		return Token{}, Error.New("%w: malformed chunk: %w", ErrMismatch, err)
	}
	if e := v.Get("error"); e != nil && e.Type() == fastjson.TypeObject {
		return Token{}, Error.New("%w: engine error %q", ErrBroken, e.GetStringBytes("code"))
	}
	if !s.matchesStream(v) {
		return Token{}, Error.Wrap(ErrMismatch)
	}
	return s.parseToken(v)
}

func (s *Stream) matchesStream(v *fastjson.Value) bool {
	return hasString(v, "id", s.id.Request) &&
		hasInt(v, "attempt", s.id.Attempt) &&
		hasString(v, "model", s.id.Ref.Model) &&
		hasString(v, "version", s.id.Ref.Version) &&
		hasString(v, "adapter", s.id.Ref.Adapter)
}

func hasString(v *fastjson.Value, key, want string) bool {
	f := v.Get(key)
	if f == nil || f.Type() != fastjson.TypeString {
		return false
	}
	return string(f.GetStringBytes()) == want
}

func hasInt(v *fastjson.Value, key string, want int) bool {
	f := v.Get(key)
	if f == nil {
		return false
	}
	n, err := f.Int()
	return err == nil && n == want
}

func (s *Stream) parseToken(v *fastjson.Value) (Token, error) {
	idx := v.Get("index")
	choice := v.Get("choices", "0")
	if idx == nil || choice == nil {
		return Token{}, Error.New("%w: chunk without index or choice", ErrMismatch)
	}
	index, err := idx.Int()
	if err != nil || index < 0 {
		return Token{}, Error.New("%w: invalid chunk index", ErrMismatch)
	}
	text := choice.Get("text")
	if text == nil || text.Type() != fastjson.TypeString {
		return Token{}, Error.New("%w: chunk without text", ErrMismatch)
	}
	finish, err := finishReason(choice.Get("finish_reason"))
	if err != nil {
		return Token{}, err
	}
	s.text = append(s.text[:0], text.GetStringBytes()...)
	return Token{Index: index, Text: s.text, Finish: finish}, nil
}

// finishReason accepts only the two reasons that end a complete answer. Any other reason,
// for example that the attempt was cancelled or ran out of memory, is an error: the
// truncated answer would otherwise count as complete.
func finishReason(v *fastjson.Value) (string, error) {
	if v == nil || v.Type() == fastjson.TypeNull {
		return "", nil
	}
	if v.Type() != fastjson.TypeString {
		return "", Error.New("%w: finish reason is not a string", ErrMismatch)
	}
	switch reason := string(v.GetStringBytes()); reason {
	case "stop", "length":
		return reason, nil
	default:
		return "", Error.New("%w: engine ended the attempt: %q", ErrBroken, reason)
	}
}
