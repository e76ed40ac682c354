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
	// Field is the path of the changed field, such as classes[payment].tier.
	Field string `json:"field"`
	// Old and New are JSON values; an empty string means that the field is absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the change as one line that starts with + (added), - (removed) or ~ (changed).
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Field, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Field, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.Old, c.New)
}

// Diff returns the changes from before to after, sorted by field. Entries of lists are matched by name, and their order
// is ignored. The version is not compared. A nil before is treated as an empty configuration.
func Diff(before, after *wire.Config) ([]Change, error) {
	oldTree, err := decodedTree(before)
	if err != nil {
		return nil, err
	}
	newTree, err := decodedTree(after)
	if err != nil {
		return nil, err
	}
	return diffObjects(nil, "", oldTree, newTree), nil
}

// DiffObjects returns the changes from one JSON object to another in the same way. An empty text stands for an empty object.
func DiffObjects(before, after []byte) ([]Change, error) {
	trees := [2]map[string]any{{}, {}}
	for i, data := range [][]byte{before, after} {
		if len(data) == 0 {
			continue
		}
		if err := json.Unmarshal(data, &trees[i]); err != nil {
			return nil, fmt.Errorf("decode configuration: %w", err)
		}
	}
	return diffObjects(nil, "", trees[0], trees[1]), nil
}

// decodedTree returns cfg as a decoded JSON object without the version.
func decodedTree(cfg *wire.Config) (map[string]any, error) {
	fields := map[string]any{}
	if cfg == nil {
		return fields, nil
	}
	data, err := json.Marshal(cfg)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	delete(fields, "version")
	return fields, nil
}

// diffValues appends the changes from oldValue to newValue. A nil value means that the field is absent.
func diffValues(changes []Change, path string, oldValue, newValue any) []Change {
	oldObject, oldIsObject := oldValue.(map[string]any)
	newObject, newIsObject := newValue.(map[string]any)
	if oldIsObject && newIsObject {
		return diffObjects(changes, path, oldObject, newObject)
	}
	oldEntries, oldIsList := entriesByName(oldValue)
	newEntries, newIsList := entriesByName(newValue)
	if oldIsList && newIsList {
		return diffEntries(changes, path, oldEntries, newEntries)
	}
	oldJSON, newJSON := encodeValue(oldValue), encodeValue(newValue)
	if oldJSON == newJSON {
		return changes
	}
	return append(changes, Change{Field: path, Old: oldJSON, New: newJSON})
}

func diffObjects(changes []Change, path string, oldObject, newObject map[string]any) []Change {
	for _, name := range unionOfKeys(oldObject, newObject) {
		field := name
		if path != "" {
			field = path + "." + name
		}
		changes = diffValues(changes, field, oldObject[name], newObject[name])
	}
	return changes
}

func diffEntries(changes []Change, path string, oldEntries, newEntries map[string]any) []Change {
	for _, name := range unionOfKeys(oldEntries, newEntries) {
		changes = diffValues(changes, path+"["+name+"]", oldEntries[name], newEntries[name])
	}
	return changes
}

func unionOfKeys(a, b map[string]any) []string {
	union := maps.Clone(a)
	if union == nil {
		union = map[string]any{}
	}
	maps.Copy(union, b)
	return slices.Sorted(maps.Keys(union))
}

// entriesByName returns the objects of a list by their names; an absent list is empty. It returns false if v isn't a
// list of objects.
func entriesByName(v any) (map[string]any, bool) {
	if v == nil {
		return nil, true
	}
	list, ok := v.([]any)
	if !ok {
		return nil, false
	}
	byName := make(map[string]any, len(list))
	for _, item := range list {
		entry, ok := item.(map[string]any)
		if !ok {
			return nil, false
		}
		byName[entryName(entry)] = entry
	}
	return byName, true
}

// entryName returns a name that identifies an entry within its list.
func entryName(entry map[string]any) string {
	if prefix, ok := entry["path_prefix"]; ok {
		return fmt.Sprint(entry["method"], " ", prefix)
	}
	if kind, ok := entry["kind"]; ok && entry["class"] != nil {
		return fmt.Sprint(kind, " ", entry["name"])
	}
	return fmt.Sprint(entry["name"])
}

// encodeValue returns v as JSON. The items of lists are sorted, since their order has no meaning.
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
