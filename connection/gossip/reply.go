package gossip

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanroute/toucanroute/wire"
)

// encodingGzip is the encoding of a reply that is compressed with gzip.
const encodingGzip = "gzip"

// ReplyOutcome is the outcome of a call for objects. Its values are those of a metric's label.
type ReplyOutcome string

const (
	// ReplySent means that the objects are being sent.
	ReplySent ReplyOutcome = "sent"
	// ReplyBusy means that as many replies are on their way as may be.
	ReplyBusy ReplyOutcome = "busy"
	// ReplyNotNewer means that the caller has the newest objects that are known here.
	ReplyNotNewer ReplyOutcome = "not_newer"
	// ReplyOutdated means that the objects may be out of date here.
	ReplyOutdated ReplyOutcome = "outdated"
	// ReplyCallerGone means that the caller closed the connection first.
	ReplyCallerGone ReplyOutcome = "caller_gone"
	// ReplyFailed means that the objects can't be encoded.
	ReplyFailed ReplyOutcome = "failed"
)

// encodedObjects is the reply to a peer that has offered an encoding. Without one the reply is a wire.ObjectList.
type encodedObjects struct {
	Encoding string `json:"encoding"`
	// Data is the encoded JSON of a wire.ObjectList.
	Data []byte `json:"data"`
}

// replies holds the replies for the newest objects of each kind, so that each is encoded only once.
type replies struct {
	mu     sync.Mutex
	byKind map[string]*reply
}

// reply holds the encoded forms of one list of objects.
type reply struct {
	key replyKey
	// plain and compressed are nil until they are requested for the first time.
	plain, compressed json.RawMessage
}

// replyKey identifies the content of a list: an object's value changes only together with its version.
type replyKey struct {
	version, count int
	// objects is a hash of the objects' names and versions that doesn't depend on their order.
	objects uint64
}

func keyOf(list wire.ObjectList) replyKey {
	key := replyKey{version: list.Version, count: len(list.Items)}
	for _, o := range list.Items {
		key.objects += xxhash.Sum64String(strconv.Itoa(o.Version) + "\x00" + o.Name)
	}
	return key
}

// encode returns the reply that carries the objects of a kind, in the encoding if it is known.
func (c *replies) encode(kind, encoding string, list wire.ObjectList) (json.RawMessage, error) {
	key := keyOf(list)
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.byKind[kind]
	if r == nil || r.key != key {
		if c.byKind == nil {
			c.byKind = map[string]*reply{}
		}
		r = &reply{key: key}
		c.byKind[kind] = r
	}
	var err error
	if encoding == encodingGzip {
		if r.compressed == nil {
			r.compressed, err = compress(list)
		}
		return r.compressed, err
	}
	if r.plain == nil {
		r.plain, err = json.Marshal(list)
	}
	return r.plain, err
}

// compress returns the objects as encodedObjects.
func compress(list wire.ObjectList) (json.RawMessage, error) {
	var data bytes.Buffer
	w := gzip.NewWriter(&data)
	if err := json.NewEncoder(w).Encode(list); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(encodedObjects{Encoding: encodingGzip, Data: data.Bytes()})
}

// decodeObjects decodes the reply of a peer, which is not encoded if an older build sent it. It returns ErrReplyTooLarge if
// the decompressed reply is larger than maxReplyBytes.
func decodeObjects(data json.RawMessage) (list wire.ObjectList, err error) {
	var encoded encodedObjects
	if err := json.Unmarshal(data, &encoded); err != nil {
		return list, err
	}
	switch encoded.Encoding {
	case "":
		err = json.Unmarshal(data, &list)
		return list, err
	case encodingGzip:
	default:
		return list, ErrEncoding{encoded.Encoding}
	}
	r, err := gzip.NewReader(bytes.NewReader(encoded.Data))
	if err != nil {
		return list, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxReplyBytes+1))
	if err != nil {
		return list, err
	}
	if len(plain) > maxReplyBytes {
		return list, ErrReplyTooLarge{maxReplyBytes}
	}
	err = json.Unmarshal(plain, &list)
	return list, err
}
