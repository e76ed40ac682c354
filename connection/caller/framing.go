package caller

import "net/http"

// framing is what the headers of one request say of its body's length. The parser takes the last of several lengths, prefers
// chunks to a length and accepts signs; a proxy before the instance may read the same headers in another way, and then
// takes a part of one request for the next (request smuggling, RFC 9112, section 11.2).
type framing struct {
	length  string
	chunked bool
}

// add takes one header and tells whether the length is still unambiguous.
func (f *framing) add(key, value string) bool {
	switch http.CanonicalHeaderKey(key) {
	case "Transfer-Encoding":
		f.chunked = true
	case "Content-Length":
		if !isDigits(value) || f.length != "" && f.length != value {
			return false
		}
		f.length = value
	}
	return !f.chunked || f.length == ""
}

func isDigits(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return s != ""
}
