package mirror

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"wigeondale/infra"
)

const (
	// minPackedBytes is the size in bytes of the items from which a Delta is compressed.
	minPackedBytes = 1 << 10
	// maxUnpackedBytes bounds the decompressed size of a Delta.
	maxUnpackedBytes = 64 << 20
)

// contents is the part of a Delta that is compressed.
type contents struct {
	Items   []infra.Value `cbor:"1,keyasint,omitempty"`
	Removed []Removal     `cbor:"2,keyasint,omitempty"`
}

// compressors are flate.Writers, whose tables are large.
var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // fails only for an unknown level
	return w
}}

// packed returns the Delta in compressed form if the requesting node can decode that form and
// it saves bytes. Items are mostly text, whose field names repeat from item to item.
func (d Delta) packed(allowed bool) Delta {
	if !allowed || d.size() < minPackedBytes {
		return d
	}
	plain, err := cbor.Marshal(contents{d.Items, d.Removed})
	if err != nil {
		return d
	}
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(plain); err != nil {
		return d
	}
	if err := w.Close(); err != nil {
		return d
	}
	d.Items, d.Removed, d.Packed = nil, nil, out.Bytes()
	return d
}

func (d *Delta) size() int {
	size := 0
	for i := range d.Items {
		size += len(d.Items[i].Key) + len(d.Items[i].Data)
	}
	for i := range d.Removed {
		size += len(d.Removed[i].Key)
	}
	return size
}

// unpacked returns the Delta with its items in plain form.
func (d Delta) unpacked() (Delta, error) {
	if len(d.Packed) == 0 {
		return d, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d.Packed)), maxUnpackedBytes))
	if err != nil {
		return Delta{}, Error.Wrap(err)
	}
	var c contents
	if err := cbor.Unmarshal(plain, &c); err != nil {
		return Delta{}, Error.Wrap(err)
	}
	d.Items, d.Removed, d.Packed = c.Items, c.Removed, nil
	return d, nil
}
