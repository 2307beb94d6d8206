package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/coder/websocket"
)

const nonceBytes = 32

// Labels keep the two proofs apart, so that a side cannot send back the proof
// that it was given.
const (
	labelDialer   = "wigeon peer dialer"
	labelAcceptor = "wigeon peer acceptor"
)

// hello is the first message of each side.
type hello struct {
	_        struct{} `cbor:",toarray"`
	Protocol int
	Record   Record
	Nonce    []byte
}

// proof is the second message of each side: an HMAC with the shared key over
// both hellos. The dialler proves first, so that a listener shows strangers
// nothing that depends on the key.
type proof struct {
	_   struct{} `cbor:",toarray"`
	MAC []byte
}

// shake runs the handshake and returns the record that the other side proved.
// The caller bounds it in time by ctx and in bytes by the read limit. A dialler
// gives wanted, which may end the handshake before anything is proved, while
// the acceptor still keeps whatever link it has; an acceptor gives nil.
func shake(ctx context.Context, c *websocket.Conn, key []byte, self Record, wanted func(Record) error) (Record, error) {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	mine, err := encMode.Marshal(hello{Protocol: protocolVersion, Record: self, Nonce: nonce})
	if err != nil {
		return Record{}, Error.Wrap(err)
	}
	if wanted != nil {
		return shakeDialer(ctx, c, key, mine, wanted)
	}
	return shakeAcceptor(ctx, c, key, mine)
}

func shakeDialer(ctx context.Context, c *websocket.Conn, key, mine []byte, wanted func(Record) error) (Record, error) {
	if err := c.Write(ctx, websocket.MessageBinary, mine); err != nil {
		return Record{}, Error.Wrap(err)
	}
	theirs, rec, err := readHello(ctx, c)
	if err != nil {
		return Record{}, err
	}
	if err := wanted(rec); err != nil {
		return Record{}, err
	}
	if err := writeProof(ctx, c, mac(key, labelDialer, mine, theirs)); err != nil {
		return Record{}, err
	}
	return rec, readProof(ctx, c, mac(key, labelAcceptor, mine, theirs))
}

func shakeAcceptor(ctx context.Context, c *websocket.Conn, key, mine []byte) (Record, error) {
	theirs, rec, err := readHello(ctx, c)
	if err != nil {
		return Record{}, err
	}
	if err := c.Write(ctx, websocket.MessageBinary, mine); err != nil {
		return Record{}, Error.Wrap(err)
	}
	if err := readProof(ctx, c, mac(key, labelDialer, theirs, mine)); err != nil {
		return Record{}, err
	}
	return rec, writeProof(ctx, c, mac(key, labelAcceptor, theirs, mine))
}

func readHello(ctx context.Context, c *websocket.Conn) ([]byte, Record, error) {
	_, raw, err := c.Read(ctx)
	if err != nil {
		return nil, Record{}, Error.Wrap(err)
	}
	var h hello
	if err := decMode.Unmarshal(raw, &h); err != nil {
		return nil, Record{}, Error.Wrap(err)
	}
	if h.Protocol != protocolVersion {
		return nil, Record{}, Error.New("%w: protocol version %d", ErrHandshake, h.Protocol)
	}
	if len(h.Nonce) != nonceBytes {
		return nil, Record{}, Error.New("%w: nonce of %d bytes", ErrHandshake, len(h.Nonce))
	}
	return raw, h.Record, Error.Wrap(h.Record.check())
}

func writeProof(ctx context.Context, c *websocket.Conn, sum []byte) error {
	b, err := encMode.Marshal(proof{MAC: sum})
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(c.Write(ctx, websocket.MessageBinary, b))
}

func readProof(ctx context.Context, c *websocket.Conn, want []byte) error {
	_, raw, err := c.Read(ctx)
	if err != nil {
		return Error.Wrap(err)
	}
	var p proof
	if err := decMode.Unmarshal(raw, &p); err != nil {
		return Error.Wrap(err)
	}
	if !hmac.Equal(p.MAC, want) {
		return Error.New("%w: wrong key", ErrHandshake)
	}
	return nil
}

func mac(key []byte, label string, dialer, acceptor []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(label))
	for _, part := range [][]byte{dialer, acceptor} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return h.Sum(nil)
}
