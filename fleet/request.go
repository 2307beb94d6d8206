package fleet

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// RequestID returns the id that identifies a request towards backend servers. It is derived
// from the client account and the key together: if it were derived from the key alone, two
// accounts that choose the same key would reach each other's streams on an engine.
func RequestID(account, key string) string {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(account)))
	h.Write(n[:])
	h.Write([]byte(account))
	h.Write([]byte(key))
	return hex.EncodeToString(h.Sum(nil)[:16])
}
