package raw

import "fmt"

// MalformedAnswers returns answers with the given status and fields that are malformed in their head, an interim head or the trailer
// section, by name. Each of fields ends with CRLF. Each body is, or would be with another framing, body.
func MalformedAnswers(status int, fields, body string) map[string]string {
	line := fmt.Sprintf("HTTP/1.1 %d X\r\n", status)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	const chunked = "Transfer-Encoding: chunked\r\n"
	rest := fields + length + "\r\n" + body
	out := map[string]string{
		"space in a name":                  line + "X Foo: 1\r\n" + rest,
		"space after a name":               line + "X-Foo : 1\r\n" + rest,
		"space after the length's name":    line + fmt.Sprintf("Content-Length : %d\r\n", len(body)) + fields + "\r\n" + body,
		"space after the chunks' name":     line + "Transfer-Encoding : chunked\r\n" + fields + "\r\n" + chunks,
		"space in a trailer's name":        line + chunked + fields + "\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\nX Foo: 1\r\n\r\n", len(body), body),
		"chunks in HTTP/1.0":               fmt.Sprintf("HTTP/1.0 %d X\r\n", status) + chunked + fields + "\r\n" + chunks,
		"length beside chunks":             line + chunked + length + fields + "\r\n" + chunks,
		"control byte in the reason":       fmt.Sprintf("HTTP/1.1 %d X\x01\r\n", status) + rest,
		"space in an interim answer":       "HTTP/1.1 103 Early Hints\r\nX Foo: 1\r\n\r\n" + line + rest,
		"version of an interim answer":     "HTTP/2.0 103 Early Hints\r\n\r\n" + line + rest,
		"control byte in a name":           line + "X\x01Foo: 1\r\n" + rest,
		"control byte in a value":          line + "X-Foo: \x01\r\n" + rest,
		"two lengths":                      line + "Content-Length: 1\r\n" + rest,
		"chunks of an answer without body": "HTTP/1.1 103 X\r\n" + chunked + "\r\n" + line + rest,
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0"} {
		out["version "+version] = fmt.Sprintf("%s %d X\r\n", version, status) + rest
	}
	for _, text := range []string{"000", "099", "+20", "600", "999"} {
		out["status "+text] = "HTTP/1.1 " + text + " X\r\n" + rest
	}
	return out
}

// WellFormedAnswers returns answers with status 200, the given fields and body that are unusual and well formed, or malformed in a way
// that RFC 9110 and RFC 9112 let a recipient accept, by name.
func WellFormedAnswers(fields, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	rest := fields + length + "\r\n" + body
	return map[string]string{
		"folded line":              "HTTP/1.1 200 OK\r\nX-Foo: a,\r\n  b\r\n" + rest,
		"no reason":                "HTTP/1.1 200 \r\n" + rest,
		"no space after status":    "HTTP/1.1 200\r\n" + rest,
		"high bytes in the reason": "HTTP/1.1 200 \xe9t\xe9\r\n" + rest,
		"high bytes in a value":    "HTTP/1.1 200 OK\r\nX-Foo: \xe9\r\n" + rest,
		"later minor version":      "HTTP/1.9 200 OK\r\n" + rest,
		"HTTP/1.0":                 "HTTP/1.0 200 OK\r\n" + rest,
		"lines that end in LF":     "HTTP/1.1 200 OK\nX-Foo: 1\n" + rest,
		"same length twice":        "HTTP/1.1 200 OK\r\n" + length + rest,
		"empty value":              "HTTP/1.1 200 OK\r\nX-Foo:\r\n" + rest,
		"interim answers":          "HTTP/1.1 199 Z\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"chunks with an extension": "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n" + fields + "\r\n" + fmt.Sprintf("%x;a=\"b\"\r\n%s\r\n0\r\nX-End: 1\r\n\r\n", len(body), body),
	}
}
