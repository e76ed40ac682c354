package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPartBytes is the length up to which the id of a part is used as it is. Longer ids are hashed.
	maxPartBytes = 32
	// requestPrefix begins the keys of whole requests. No id of a part is used as it is that begins so.
	requestPrefix = "request:"
	// fingerprintBytes is the length of a fingerprint before its encoding. No caller can find a request with the
	// fingerprint of another caller's.
	fingerprintBytes = 12
)

// Request identifies a request by what servers may crash under: the parts of its prompt, or the request as a whole.
type Request struct {
	// Parts are the ids of the parts of the prompt, in order; empty if there is no prompt.
	Parts []string
	// Fingerprint identifies the whole request, see FingerprintOf; empty if it isn't known.
	Fingerprint string
}

// FingerprintOf returns the fingerprint of requests with the same method, path, workspace and body. The path includes the
// query.
func FingerprintOf(method, path, workspace string, body []byte) string {
	h := sha256.New()
	var length [8]byte
	for _, field := range [][]byte{[]byte(method), []byte(path), []byte(workspace), body} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(field)
	}
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// key returns the key of the whole request; empty if its fingerprint isn't known.
func (r *Request) key() string {
	if r.Fingerprint == "" {
		return ""
	}
	return requestPrefix + r.Fingerprint
}

// keys returns the distinct keys of the request and of the parts of its prompt, in order.
func (r *Request) keys() []string {
	keys := make([]string, 0, len(r.Parts)+1)
	if key := r.key(); key != "" {
		keys = append(keys, key)
	}
	for _, id := range r.Parts {
		keys = append(keys, partKey(id))
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// isRequestKey reports whether a key is that of a whole request.
func isRequestKey(key string) bool { return strings.HasPrefix(key, requestPrefix) }

// partKey returns the key of a part of a prompt.
func partKey(id string) string {
	if isRequestKey(id) {
		return hashedKey(id)
	}
	return boundKey(id)
}

// boundKey returns a key unchanged unless it is too long or no text.
func boundKey(key string) string {
	if len(key) <= maxPartBytes && utf8.ValidString(key) {
		return key
	}
	return hashedKey(key)
}

func hashedKey(id string) string { return "xxh64:" + strconv.FormatUint(xxhash.Sum64String(id), 16) }

// boundKeys returns the distinct keys of a message of another instance, in order.
func boundKeys(keys []string) []string {
	list := make([]string, len(keys))
	for i, key := range keys {
		list[i] = boundKey(key)
	}
	slices.Sort(list)
	return slices.Compact(list)
}
