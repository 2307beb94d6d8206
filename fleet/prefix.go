package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the size of one prompt-prefix cache block, in bytes of prompt.
const BlockBytes = 256

// PrefixBlocks hashes each full block of the prompt together with all blocks that precede it,
// so that equal hashes mean equal prefixes. At most max hashes are returned. Engines identify
// their cached blocks by the same hashes.
func PrefixBlocks(prompt string, max int) []uint64 {
	n := min(len(prompt)/BlockBytes, max)
	blocks := make([]uint64, 0, n)
	var prev uint64
	for i := range n {
		var d xxhash.Digest
		d.Reset()
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], prev)
		d.Write(b[:])
		d.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		prev = d.Sum64()
		blocks = append(blocks, prev)
	}
	return blocks
}
