package cursor

import "encoding/binary"

// fields returns the fields of a format version.
func (c *Cursor) fields(format byte) []*string {
	out := []*string{
		&c.Request, &c.Account, &c.Backend, &c.Incarnation,
		&c.Ref.Model, &c.Ref.Version, &c.Ref.Adapter,
	}
	if format == versionSoftware {
		out = append(out, &c.Software)
	}
	return out
}

// format returns the format version that can hold a cursor. Builds that know the first format only
// refuse cursors that name a software version, and don't continue their answers at any version.
func (c *Cursor) format() byte {
	if c.Software != "" {
		return versionSoftware
	}
	return version
}

// appendStatic appends the static part of a cursor: version, padding length,
// attempt, time, body hash and the length-prefixed fields, padded to a multiple of
// three bytes.
func appendStatic(dst []byte, c *Cursor) ([]byte, error) {
	size := headBytes
	for _, f := range c.fields(c.format()) {
		if len(*f) > maxFieldBytes {
			return nil, ErrField
		}
		size += 1 + len(*f)
	}
	pad := (3 - size%3) % 3
	dst = append(dst, c.format(), byte(pad))
	dst = binary.BigEndian.AppendUint32(dst, uint32(c.Attempt))
	dst = binary.BigEndian.AppendUint64(dst, uint64(c.IssuedUnixS))
	dst = append(dst, c.BodyHash[:]...)
	for _, f := range c.fields(c.format()) {
		dst = append(dst, byte(len(*f)))
		dst = append(dst, *f...)
	}
	return append(dst, make([]byte, pad)...), nil
}

func parseStatic(raw []byte) (*Cursor, error) {
	c := &Cursor{
		Attempt:     int(binary.BigEndian.Uint32(raw[2:])),
		IssuedUnixS: int64(binary.BigEndian.Uint64(raw[6:])),
	}
	copy(c.BodyHash[:], raw[14:headBytes])
	rest := raw[headBytes:]
	for _, f := range c.fields(raw[0]) {
		if len(rest) == 0 || len(rest) < 1+int(rest[0]) {
			return nil, ErrMalformed
		}
		n := int(rest[0])
		*f = string(rest[1 : 1+n])
		rest = rest[1+n:]
	}
	if len(rest) != int(raw[1]) {
		return nil, ErrMalformed
	}
	return c, nil
}

func parseTail(c *Cursor, raw []byte) {
	c.Offset = int(binary.BigEndian.Uint32(raw[0:]))
	c.TextBytes = int(binary.BigEndian.Uint32(raw[4:]))
	c.Digest = binary.BigEndian.Uint64(raw[8:])
	c.Finished = raw[16] == 1
}
