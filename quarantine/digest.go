package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies a request together with its repeats. It is a keyed hash, so that no client
// can construct a request that has the same digest as another request.
type Digest [16]byte

// String returns the digest as hexadecimal text, the form used in logs and by operators.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the output of Digest.String.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	if len(s) != hex.EncodedLen(len(d)) {
		return Digest{}, Error.New("a digest has %d digits, got %d", hex.EncodedLen(len(d)), len(s))
	}
	_, err := hex.Decode(d[:], []byte(s))
	return d, Error.Wrap(err)
}

// Subject holds what a request and its repeats have in common. The request id is not one of
// its fields.
type Subject struct {
	Account string
	Method  string
	Host    string
	Target  string
	Body    []byte
	// Content is what the request has in common with other requests. It isn't part of the digest.
	Content Content
}

// digest returns the keyed digest of the subject. Each field is preceded by its length, so that
// no two subjects give the same input.
func (s *Subject) digest(key []byte) Digest {
	h := hmac.New(sha256.New, key)
	for _, field := range []string{s.Account, s.Method, s.Host, s.Target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	h.Write(s.Body)
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}
