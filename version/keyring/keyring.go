// Package keyring holds the hashes of the callers' keys and looks up presented keys.
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

// Prefix starts each key, so that scanners recognise one that leaked.
const Prefix = "tcr_"

const (
	// keyBytes is the entropy of a key.
	keyBytes = 32
	// idDigits is the number of hex digits of the hash that name a key.
	idDigits = 12
)

// hash is the SHA-256 of a key.
type hash [sha256.Size]byte

// Entry is what is known of one key.
type Entry struct {
	workspace string
	id        string
	classes   []string
	withdrawn bool
}

// Workspace returns the workspace that the key speaks for.
func (e Entry) Workspace() string { return e.workspace }

// ID returns the public name of the key, safe to log.
func (e Entry) ID() string { return e.id }

// Classes returns the classes that the key may use; empty is all classes of its workspace.
func (e Entry) Classes() []string { return e.classes }

// Withdrawn tells whether the key was withdrawn.
func (e Entry) Withdrawn() bool { return e.withdrawn }

// MayUse tells whether the key's own rights hold class; the workspace's rights are checked apart.
func (e Entry) MayUse(class string) bool {
	return len(e.classes) == 0 || slices.Contains(e.classes, class)
}

// workspaceKeys holds the keys of one workspace; it is never changed once built.
type workspaceKeys struct {
	entries map[hash]Entry
}

// Ring is an immutable set of keyrings.
type Ring struct {
	workspaces map[string]*workspaceKeys
	// index holds, for each shard, the entries of all workspaces by hash; shards are shared between rings.
	index [shards]map[hash]Entry
}

// shards is the number of parts of the index; With copies only the parts that change.
const shards = 256

// NewRing returns a ring of the given keyrings; a later one replaces an earlier one of the same workspace.
func NewRing(keyrings ...wire.Keyring) *Ring {
	r := &Ring{workspaces: map[string]*workspaceKeys{}}
	for _, k := range keyrings {
		r.replace(k, func(int) {})
	}
	return r
}

// With returns a ring in which keyring replaces that of its workspace.
func (r *Ring) With(keyring wire.Keyring) *Ring {
	next := &Ring{workspaces: maps.Clone(r.workspaces), index: r.index}
	copied := [shards]bool{}
	next.replace(keyring, func(shard int) {
		if copied[shard] {
			return
		}
		next.index[shard] = maps.Clone(next.index[shard])
		copied[shard] = true
	})
	return next
}

// Without returns a ring that has no keys of workspace.
func (r *Ring) Without(workspace string) *Ring {
	next := r.With(wire.Keyring{Workspace: workspace})
	delete(next.workspaces, workspace)
	return next
}

// replace puts keyring into the ring and calls touch before it changes a shard.
func (r *Ring) replace(keyring wire.Keyring, touch func(shard int)) {
	if old := r.workspaces[keyring.Workspace]; old != nil {
		for h := range old.entries {
			r.remove(h, keyring.Workspace, touch)
		}
	}
	keys := &workspaceKeys{entries: make(map[hash]Entry, len(keyring.Keys))}
	for _, k := range keyring.Keys {
		h, ok := parseHash(k.Hash)
		if !ok {
			continue
		}
		e := newEntry(keyring.Workspace, k)
		if seen, twice := keys.entries[h]; twice && seen.withdrawn {
			e.withdrawn = true
		}
		keys.entries[h] = e
		r.insert(h, e, touch)
	}
	r.workspaces[keyring.Workspace] = keys
}

// insert adds an entry; a hash that another workspace holds stays with the workspace first in name order.
func (r *Ring) insert(h hash, e Entry, touch func(shard int)) {
	shard := int(h[0])
	touch(shard)
	if r.index[shard] == nil {
		r.index[shard] = map[hash]Entry{}
	}
	if held, ok := r.index[shard][h]; ok && held.workspace < e.workspace {
		return
	}
	r.index[shard][h] = e
}

// remove takes the hash of workspace out and gives it to the next workspace that holds it.
func (r *Ring) remove(h hash, workspace string, touch func(shard int)) {
	shard := int(h[0])
	held, ok := r.index[shard][h]
	if !ok || held.workspace != workspace {
		return
	}
	touch(shard)
	delete(r.index[shard], h)
	for name, keys := range r.workspaces {
		e, ok := keys.entries[h]
		if ok && name != workspace {
			r.insert(h, e, touch)
		}
	}
}

// Lookup returns the entry of a presented key. Its time tells nothing of the stored keys, since only
// the hash of the presented key is compared.
func (r *Ring) Lookup(key string) (Entry, bool) {
	h := hash(sha256.Sum256([]byte(key)))
	e, ok := r.index[int(h[0])][h]
	return e, ok
}

// Workspaces returns the number of workspaces that have a keyring.
func (r *Ring) Workspaces() int { return len(r.workspaces) }

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

// Hash returns the SHA-256 of a key in hexadecimal.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Generate returns a new random key with its id and its hash.
func Generate() (key, id, keyHash string) {
	secret := make([]byte, keyBytes)
	rand.Read(secret) //nolint:errcheck // rand.Read never fails; it ends the program where the system has no randomness.
	key = Prefix + base64.RawURLEncoding.EncodeToString(secret)
	keyHash = Hash(key)
	return key, "key-" + keyHash[:idDigits], keyHash
}
