package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/coder/websocket"
)

const nonceBytes = 32

// The labels make the proofs of the two sides differ, so that neither side can
// send back the proof that it received.
const (
	labelDialer   = "wigeon peer dialer"
	labelAcceptor = "wigeon peer acceptor"
)

// hello is the first message from each side.
type hello struct {
	_        struct{} `cbor:",toarray"`
	Protocol int
	Record   Record
	Nonce    []byte
}

// proof is the second message from each side: an HMAC over both hellos, made
// with the shared key. The dialler sends its proof first, so that the acceptor
// sends nothing that depends on the key to a dialler that has not proved it.
type proof struct {
	_   struct{} `cbor:",toarray"`
	MAC []byte
}

// handshake performs the handshake and returns the record of the authenticated remote
// node. The caller bounds its duration by ctx and its size by the read limit of c. A
// dialler passes check, which may end the handshake before the dialler sends its proof,
// so that the acceptor keeps any link that it already has to the dialler. An acceptor
// passes a nil check, which makes handshake act as the acceptor.
func handshake(ctx context.Context, c *websocket.Conn, key []byte, self Record, check func(Record) error) (Record, error) {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	localHello, err := encMode.Marshal(hello{Protocol: protocolVersion, Record: self, Nonce: nonce})
	if err != nil {
		return Record{}, Error.Wrap(err)
	}
	if check != nil {
		return handshakeAsDialer(ctx, c, key, localHello, check)
	}
	return handshakeAsAcceptor(ctx, c, key, localHello)
}

func handshakeAsDialer(ctx context.Context, c *websocket.Conn, key, localHello []byte, check func(Record) error) (Record, error) {
	if err := c.Write(ctx, websocket.MessageBinary, localHello); err != nil {
		return Record{}, Error.Wrap(err)
	}
	remoteHello, rec, err := readHello(ctx, c)
	if err != nil {
		return Record{}, err
	}
	if err := check(rec); err != nil {
		return Record{}, err
	}
	if err := writeProof(ctx, c, mac(key, labelDialer, localHello, remoteHello)); err != nil {
		return Record{}, err
	}
	return rec, readProof(ctx, c, mac(key, labelAcceptor, localHello, remoteHello))
}

func handshakeAsAcceptor(ctx context.Context, c *websocket.Conn, key, localHello []byte) (Record, error) {
	remoteHello, rec, err := readHello(ctx, c)
	if err != nil {
		return Record{}, err
	}
	if err := c.Write(ctx, websocket.MessageBinary, localHello); err != nil {
		return Record{}, Error.Wrap(err)
	}
	if err := readProof(ctx, c, mac(key, labelDialer, remoteHello, localHello)); err != nil {
		return Record{}, err
	}
	return rec, writeProof(ctx, c, mac(key, labelAcceptor, remoteHello, localHello))
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
