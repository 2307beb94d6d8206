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

// handshaker performs the handshake on one connection. The caller bounds its duration by a
// context and its size by the read limit of the connection.
type handshaker struct {
	conn     *websocket.Conn
	key      []byte
	self     Record
	protocol int // version that both sides must have
	// admit, if set, returns an error if this node takes no more connections of other nodes. It is called once the dialler has proved the
	// key, and before this side does.
	admit func() error
}

// hello returns this side's first message.
func (h *handshaker) hello() ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	b, err := encMode.Marshal(hello{Protocol: h.protocol, Record: h.self, Nonce: nonce})
	return b, Error.Wrap(err)
}

// dial performs the handshake as the dialler and returns the record of the authenticated remote
// node. check may end the handshake before the dialler sends its proof, so that the acceptor keeps
// any link that it already has to the dialler.
func (h *handshaker) dial(ctx context.Context, check func(Record) error) (Record, error) {
	localHello, err := h.hello()
	if err != nil {
		return Record{}, err
	}
	if err := h.conn.Write(ctx, websocket.MessageBinary, localHello); err != nil {
		return Record{}, Error.Wrap(err)
	}
	remoteHello, rec, err := h.readHello(ctx)
	if err != nil {
		return Record{}, err
	}
	if err := check(rec); err != nil {
		return Record{}, err
	}
	if err := writeProof(ctx, h.conn, mac(h.key, labelDialer, localHello, remoteHello)); err != nil {
		return Record{}, err
	}
	return rec, readProof(ctx, h.conn, mac(h.key, labelAcceptor, localHello, remoteHello))
}

// accept performs the handshake as the acceptor and returns the record of the authenticated
// remote node.
func (h *handshaker) accept(ctx context.Context) (Record, error) {
	localHello, err := h.hello()
	if err != nil {
		return Record{}, err
	}
	remoteHello, rec, err := h.readHello(ctx)
	if err != nil {
		return Record{}, err
	}
	if err := h.conn.Write(ctx, websocket.MessageBinary, localHello); err != nil {
		return Record{}, Error.Wrap(err)
	}
	if err := readProof(ctx, h.conn, mac(h.key, labelDialer, remoteHello, localHello)); err != nil {
		return Record{}, err
	}
	if h.admit != nil {
		if err := h.admit(); err != nil {
			return Record{}, err
		}
	}
	return rec, writeProof(ctx, h.conn, mac(h.key, labelAcceptor, remoteHello, localHello))
}

func (h *handshaker) readHello(ctx context.Context) ([]byte, Record, error) {
	_, raw, err := h.conn.Read(ctx)
	if err != nil {
		return nil, Record{}, Error.Wrap(err)
	}
	var remote hello
	if err := decMode.Unmarshal(raw, &remote); err != nil {
		return nil, Record{}, Error.Wrap(err)
	}
	if remote.Protocol != h.protocol {
		return nil, Record{}, Error.New("%w: protocol version %d", ErrHandshake, remote.Protocol)
	}
	if len(remote.Nonce) != nonceBytes {
		return nil, Record{}, Error.New("%w: nonce of %d bytes", ErrHandshake, len(remote.Nonce))
	}
	return raw, remote.Record, Error.Wrap(remote.Record.check())
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
