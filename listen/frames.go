package listen

// http2Preface is what a client sends before its first frame.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

const (
	frameHeader       = 9 // bytes
	frameHeaders      = 1
	frameContinuation = 9
	endHeaders        = 4 // flag
)

// frames follows the frames of an HTTP/2 connection as far as header blocks need it. http.Server checks them.
type frames struct {
	block int // bytes of the header block whose end has not arrived

	header  [frameHeader]byte
	have    int // bytes of header
	left    int // bytes of the payload that have not arrived, at first of the preface
	isBlock bool
}

func (f *frames) add(data []byte) {
	for len(data) > 0 {
		if f.left > 0 {
			k := min(f.left, len(data))
			data, f.left = data[k:], f.left-k
			if f.isBlock {
				f.block += k
			}
		} else {
			k := copy(f.header[f.have:], data)
			data, f.have = data[k:], f.have+k
			if f.have < frameHeader {
				return
			}
			f.have = 0
			f.left = int(f.header[0])<<16 | int(f.header[1])<<8 | int(f.header[2])
			f.isBlock = f.header[3] == frameHeaders || f.header[3] == frameContinuation
		}
		if f.left == 0 && f.isBlock && f.header[4]&endHeaders != 0 {
			f.block = 0
		}
	}
}
