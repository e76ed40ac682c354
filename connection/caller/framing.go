package caller

import "net/http"

// bodyFraming collects the headers of one request that state the length of its body, so that ambiguous ones can be
// refused. nbhttp's parser uses the last of several Content-Length headers, prefers Transfer-Encoding to Content-Length
// and accepts a sign before the length. A proxy in front of the instance may interpret the same headers differently and
// then treat a part of one request as the next request (request smuggling, RFC 9112, section 11.2).
type bodyFraming struct {
	contentLength       string
	hasTransferEncoding bool
}

// add records one header of the request. It returns false if the headers recorded so far don't give the body exactly
// one length.
func (f *bodyFraming) add(key, value string) bool {
	switch http.CanonicalHeaderKey(key) {
	case "Transfer-Encoding":
		f.hasTransferEncoding = true
	case "Content-Length":
		if !isDigits(value) || f.contentLength != "" && f.contentLength != value {
			return false
		}
		f.contentLength = value
	}
	return !f.hasTransferEncoding || f.contentLength == ""
}

func isDigits(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return s != ""
}
