// Package keyring indexes the hashes of callers' API keys and looks up the keys that requests present. A keyring is the
// list of the keys of one workspace, with the hash and the rights of each.
package keyring

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/toucanroute/toucanroute/wire"
)

// Prefix starts each key, so that secret scanners recognise a leaked key.
const Prefix = "tcr_"

const (
	// keyBytes is the number of random bytes in a key.
	keyBytes = 32
	// idDigits is the number of hex digits of the key's hash that form its ID.
	idDigits = 12
)

// hash is the SHA-256 of a key.
type hash [sha256.Size]byte

// Entry describes one key: its workspace, its ID and its rights.
type Entry struct {
	workspace string
	id        string
	classes   []string
	withdrawn bool
}

// Workspace returns the workspace to which the key belongs.
func (e Entry) Workspace() string { return e.workspace }

// ID returns the public ID of the key, which is safe to log.
func (e Entry) ID() string { return e.id }

// Classes returns the classes that the key may use; empty means all classes of its workspace.
func (e Entry) Classes() []string { return e.classes }

// Withdrawn reports whether the key was withdrawn.
func (e Entry) Withdrawn() bool { return e.withdrawn }

// MayUse reports whether the rights of the key include class. The rights of the workspace are checked separately.
func (e Entry) MayUse(class string) bool {
	return len(e.classes) == 0 || slices.Contains(e.classes, class)
}

// workspaceKeys holds the keys of one workspace. It is immutable once built.
type workspaceKeys struct {
	entries map[hash]Entry
}

// Ring is an immutable index of the keyrings of all workspaces by the hash of the key.
type Ring struct {
	workspaces map[string]*workspaceKeys
	// index maps hashes to entries of all workspaces, in shards by the first byte of the hash. Unchanged shards are
	// shared between rings.
	index [shardCount]map[hash]Entry
}

// shardCount is the number of shards of the index. WithKeyring copies only the shards that change.
const shardCount = 256

// NewRing returns a ring of the given keyrings. A later keyring replaces an earlier one of the same workspace.
func NewRing(keyrings ...wire.Keyring) *Ring {
	r := &Ring{workspaces: map[string]*workspaceKeys{}}
	for _, k := range keyrings {
		r.setKeyring(k, func(int) {})
	}
	return r
}

// WithKeyring returns a copy of the ring in which keyring replaces the previous keyring of its workspace.
func (r *Ring) WithKeyring(keyring wire.Keyring) *Ring {
	next := &Ring{workspaces: maps.Clone(r.workspaces), index: r.index}
	isCopied := [shardCount]bool{}
	next.setKeyring(keyring, func(shard int) {
		if isCopied[shard] {
			return
		}
		next.index[shard] = maps.Clone(next.index[shard])
		isCopied[shard] = true
	})
	return next
}

// WithoutWorkspace returns a copy of the ring without the keys of workspace.
func (r *Ring) WithoutWorkspace(workspace string) *Ring {
	next := r.WithKeyring(wire.Keyring{Workspace: workspace})
	delete(next.workspaces, workspace)
	return next
}

// setKeyring sets the keyring of its workspace. It calls beforeChange before it changes a shard of the index.
func (r *Ring) setKeyring(keyring wire.Keyring, beforeChange func(shard int)) {
	if old := r.workspaces[keyring.Workspace]; old != nil {
		for h := range old.entries {
			r.remove(h, keyring.Workspace, beforeChange)
		}
	}
	keys := &workspaceKeys{entries: make(map[hash]Entry, len(keyring.Keys))}
	for _, k := range keyring.Keys {
		h, ok := parseHash(k.Hash)
		if !ok {
			continue
		}
		e := newEntry(keyring.Workspace, k)
		if previous, duplicate := keys.entries[h]; duplicate && previous.withdrawn {
			e.withdrawn = true
		}
		keys.entries[h] = e
		r.insert(h, e, beforeChange)
	}
	r.workspaces[keyring.Workspace] = keys
}

// insert adds an entry to the index. If two workspaces hold the same hash, it belongs to the workspace whose name sorts
// first.
func (r *Ring) insert(h hash, e Entry, beforeChange func(shard int)) {
	shard := int(h[0])
	beforeChange(shard)
	if r.index[shard] == nil {
		r.index[shard] = map[hash]Entry{}
	}
	if current, ok := r.index[shard][h]; ok && current.workspace < e.workspace {
		return
	}
	r.index[shard][h] = e
}

// remove removes a hash of workspace from the index. If other workspaces hold the same hash, it then belongs to the
// first of them by name.
func (r *Ring) remove(h hash, workspace string, beforeChange func(shard int)) {
	shard := int(h[0])
	current, ok := r.index[shard][h]
	if !ok || current.workspace != workspace {
		return
	}
	beforeChange(shard)
	delete(r.index[shard], h)
	for name, keys := range r.workspaces {
		e, ok := keys.entries[h]
		if ok && name != workspace {
			r.insert(h, e, beforeChange)
		}
	}
}

// Lookup returns the entry of a presented key. The time of a lookup reveals nothing about the stored keys, since only
// the hash of the presented key is compared.
func (r *Ring) Lookup(key string) (Entry, bool) {
	h := hash(sha256.Sum256([]byte(key)))
	e, ok := r.index[int(h[0])][h]
	return e, ok
}

// WorkspaceCount returns the number of workspaces that have a keyring.
func (r *Ring) WorkspaceCount() int { return len(r.workspaces) }

func newEntry(workspace string, k wire.KeyEntry) Entry {
	return Entry{
		workspace: workspace,
		id:        k.Id,
		classes:   slices.Clone(k.Classes),
		withdrawn: k.WithdrawnAtMs > 0,
	}
}

func parseHash(s string) (hash, bool) {
	data, err := hex.DecodeString(s)
	if err != nil || len(data) != sha256.Size {
		return hash{}, false
	}
	return hash(data), true
}

// Hash returns the SHA-256 of a key as hexadecimal text.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Generate returns a new random key, its ID and its hash.
func Generate() (key, id, keyHash string) {
	secret := make([]byte, keyBytes)
	rand.Read(secret) //nolint:errcheck // rand.Read never returns an error; it crashes the program if the system has no randomness.
	key = Prefix + base64.RawURLEncoding.EncodeToString(secret)
	keyHash = Hash(key)
	return key, "key-" + keyHash[:idDigits], keyHash
}
