package forward

import (
	"net/url"
	"strings"
)

// targetURL returns the URL with which net/http sends the target of a request to an address unchanged; false if there is
// none.
func targetURL(address, target string) (*url.URL, bool) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}, true
	}
	// net/http would put the scheme before an opaque part that begins with two slashes.
	rawPath, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(rawPath)
	u := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: rawPath, RawQuery: query, ForceQuery: hasQuery}
	return u, err == nil && u.RequestURI() == target
}
