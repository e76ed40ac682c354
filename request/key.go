package request

import (
	"net/http"
	"net/url"
	"strings"
)

// Headers that may contain a key.
const (
	headerAuthorization = "Authorization"
	headerXAPIKey       = "X-Api-Key"
	headerAPIKey        = "Api-Key"
	bearerPrefix        = "bearer "
)

var (
	keyHeaders     = []string{headerAuthorization, "Proxy-Authorization", headerXAPIKey, headerAPIKey, "Cookie"}
	keyQueryParams = []string{"key", "api_key"}
)

// Key returns the API key of a request; empty if it has none. The Authorization header has precedence over the other
// headers, and these have precedence over the query parameters.
func Key(h http.Header, u *url.URL) string {
	if auth := h.Get(headerAuthorization); len(auth) > len(bearerPrefix) && strings.EqualFold(auth[:len(bearerPrefix)], bearerPrefix) {
		return strings.TrimSpace(auth[len(bearerPrefix):])
	}
	for _, name := range []string{headerXAPIKey, headerAPIKey} {
		if key := strings.TrimSpace(h.Get(name)); key != "" {
			return key
		}
	}
	if u.RawQuery == "" {
		return ""
	}
	query := u.Query()
	for name, values := range query {
		if isKeyQueryParam(name) && len(values) > 0 && values[0] != "" {
			return values[0]
		}
	}
	return ""
}

// StripKeyHeaders removes each header that may contain a key by its name, and each header whose value contains the key.
func StripKeyHeaders(h http.Header, key string) {
	for _, name := range keyHeaders {
		delete(h, name)
	}
	if key == "" {
		return
	}
	for name, values := range h {
		for _, v := range values {
			if strings.Contains(v, key) {
				delete(h, name)
				break
			}
		}
	}
}

// StripKeyQuery returns the raw query without the parameters that may contain a key by their name, and without those
// whose name or value contains the key.
func StripKeyQuery(raw, key string) string {
	if raw == "" {
		return ""
	}
	kept := make([]string, 0, strings.Count(raw, "&")+1)
	for part := range strings.SplitSeq(raw, "&") {
		name, value, _ := strings.Cut(part, "=")
		name = unescape(name)
		if isKeyQueryParam(name) {
			continue
		}
		if key != "" && (strings.Contains(unescape(value), key) || strings.Contains(name, key)) {
			continue
		}
		kept = append(kept, part)
	}
	return strings.Join(kept, "&")
}

func isKeyQueryParam(name string) bool {
	for _, p := range keyQueryParams {
		if strings.EqualFold(name, p) {
			return true
		}
	}
	return false
}

func unescape(s string) string {
	unescaped, err := url.QueryUnescape(s)
	if err != nil {
		return s
	}
	return unescaped
}
