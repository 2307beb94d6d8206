package callerapi

const hexDigits = "0123456789abcdef"

// appendEscaped appends valid UTF-8 text as the content of a JSON string, without
// the quotes. Unlike encoding/json it does not allocate if dst has enough capacity.
func appendEscaped(dst, text []byte) []byte {
	for _, b := range text {
		switch {
		case b == '"' || b == '\\':
			dst = append(dst, '\\', b)
		case b == '\n':
			dst = append(dst, '\\', 'n')
		case b < ' ':
			dst = append(dst, '\\', 'u', '0', '0', hexDigits[b>>4], hexDigits[b&15])
		default:
			dst = append(dst, b)
		}
	}
	return dst
}
