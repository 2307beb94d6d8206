package bounded

import "net/http"

// The memory of a parsed header is that of its bytes, once as text and once in the copy that is passed on, and of the map, slices
// and strings. A short line takes many times its length.
const (
	MemoryPerByte = 2
	MemoryPerLine = 256
)

// HeaderMemory returns the memory of a parsed header.
func HeaderMemory(h http.Header) int64 {
	sum := int64(0)
	for name, values := range h {
		for _, v := range values {
			sum += MemoryPerLine + int64(len(name)+len(v))*MemoryPerByte
		}
	}
	return sum
}
