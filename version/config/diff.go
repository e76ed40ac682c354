package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/toucanroute/toucanroute/wire"
)

// Change is one difference between two configurations.
type Change struct {
	// Field is the path of what changed, such as classes[payment].tier.
	Field string `json:"field"`
	// Old and New are JSON values; an empty one is absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the change on one line: + added, - removed, ~ changed.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Field, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Field, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.Old, c.New)
}

// Diff returns what changes from before to after, sorted by field. Entries of lists are matched by name,
// and their order doesn't count. The version is left out. A nil before has nothing in it.
func Diff(before, after *wire.Config) ([]Change, error) {
	old, err := tree(before)
	if err != nil {
		return nil, err
	}
	now, err := tree(after)
	if err != nil {
		return nil, err
	}
	return diffObjects(nil, "", old, now), nil
}

// tree returns cfg as decoded JSON without its version.
func tree(cfg *wire.Config) (map[string]any, error) {
	t := map[string]any{}
	if cfg == nil {
		return t, nil
	}
	data, err := json.Marshal(cfg)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	delete(t, "version")
	return t, nil
}

// diffValues appends the changes from old to now, either of which may be nil for absent.
func diffValues(changes []Change, path string, old, now any) []Change {
	oldObject, isObject := old.(map[string]any)
	nowObject, stillObject := now.(map[string]any)
	if isObject && stillObject {
		return diffObjects(changes, path, oldObject, nowObject)
	}
	oldEntries, wasList := entries(old)
	nowEntries, isList := entries(now)
	if wasList && isList {
		return diffEntries(changes, path, oldEntries, nowEntries)
	}
	was, is := encodeValue(old), encodeValue(now)
	if was == is {
		return changes
	}
	return append(changes, Change{Field: path, Old: was, New: is})
}

func diffObjects(changes []Change, path string, old, now map[string]any) []Change {
	for _, name := range unionOfKeys(old, now) {
		below := name
		if path != "" {
			below = path + "." + name
		}
		changes = diffValues(changes, below, old[name], now[name])
	}
	return changes
}

func diffEntries(changes []Change, path string, old, now map[string]any) []Change {
	for _, name := range unionOfKeys(old, now) {
		changes = diffValues(changes, path+"["+name+"]", old[name], now[name])
	}
	return changes
}

func unionOfKeys(a, b map[string]any) []string {
	all := maps.Clone(a)
	if all == nil {
		all = map[string]any{}
	}
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}

// entries returns a list of objects by their names; an absent list is empty. False is another kind of value.
func entries(v any) (map[string]any, bool) {
	if v == nil {
		return nil, true
	}
	list, ok := v.([]any)
	if !ok {
		return nil, false
	}
	named := make(map[string]any, len(list))
	for _, item := range list {
		entry, ok := item.(map[string]any)
		if !ok {
			return nil, false
		}
		named[entryName(entry)] = entry
	}
	return named, true
}

// entryName returns what tells an entry of a list from the others.
func entryName(entry map[string]any) string {
	if prefix, ok := entry["path_prefix"]; ok {
		return fmt.Sprint(entry["method"], " ", prefix)
	}
	if kind, ok := entry["kind"]; ok && entry["class"] != nil {
		return fmt.Sprint(kind, " ", entry["name"])
	}
	return fmt.Sprint(entry["name"])
}

// encodeValue returns v as JSON; lists of texts are sorted, since their order has no meaning.
func encodeValue(v any) string {
	if v == nil {
		return ""
	}
	list, isList := v.([]any)
	if isList {
		texts := make([]string, len(list))
		for i, item := range list {
			texts[i] = encodeValue(item)
		}
		slices.Sort(texts)
		return "[" + strings.Join(texts, ",") + "]"
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
