package document

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/tailscale/hujson"
)

// ErrNoEntry tells that a list of a document has no entry of a name, or one too many.
type ErrNoEntry struct {
	// File is the path of the document.
	File string
	// List is the field that holds the list.
	List string
	// Name is the name of the entry.
	Name string
}

func (e ErrNoEntry) Error() string {
	return fmt.Sprintf("%s: %s has no entry named %q", e.File, e.List, e.Name)
}

// Append returns the text of the document with entry added to the list of that name. All else stays as it is,
// comments included.
func (d *Document) Append(list string, entry any) ([]byte, error) {
	value, err := newValue(entry)
	if err != nil {
		return nil, err
	}
	root, array, err := d.array(list)
	if err != nil {
		return nil, err
	}
	tail := lineStart(array.AfterExtra)
	value.BeforeExtra = append(bytes.Clone(array.AfterExtra[:tail]), indentOf(array, tail > 0)...)
	array.AfterExtra = bytes.Clone(array.AfterExtra[tail:])
	if n := len(array.Elements); n > 0 {
		value.AfterExtra = array.Elements[n-1].AfterExtra
		array.Elements[n-1].AfterExtra = nil
	}
	array.Elements = append(array.Elements, value)
	return root.Pack(), nil
}

// Remove returns the text of the document without the entry of that name in the list; the comments above the
// entry and on its line go with it.
func (d *Document) Remove(list, name string) ([]byte, error) {
	root, array, err := d.array(list)
	if err != nil {
		return nil, err
	}
	n := entryIndex(array, name)
	if n < 0 {
		return nil, ErrNoEntry{File: d.file, List: list, Name: name}
	}
	removed := array.Elements[n]
	array.Elements = append(array.Elements[:n], array.Elements[n+1:]...)
	if n < len(array.Elements) {
		next := &array.Elements[n]
		next.BeforeExtra = joinExtra(removed.BeforeExtra, next.BeforeExtra)
		return root.Pack(), nil
	}
	array.AfterExtra = joinExtra(removed.BeforeExtra, array.AfterExtra)
	if n > 0 {
		array.Elements[n-1].AfterExtra = removed.AfterExtra
	}
	return root.Pack(), nil
}

// array parses the document anew, since a clone loses trailing commas, and returns it with one of its lists.
func (d *Document) array(list string) (*hujson.Value, *hujson.Array, error) {
	root, err := hujson.Parse(d.data)
	if err != nil {
		return nil, nil, ErrFields{[]ErrField{syntaxFault(d.file, err)}}
	}
	value := child(&root, list)
	if value == nil {
		return nil, nil, d.Join(d.Fault([]string{list}, "nothing", "a list"))
	}
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		return nil, nil, d.Join(d.Fault([]string{list}, "", "a list"))
	}
	return &root, array, nil
}

func entryIndex(array *hujson.Array, name string) int {
	for i := range array.Elements {
		value := child(&array.Elements[i], "name")
		if value == nil {
			continue
		}
		if literal, ok := value.Value.(hujson.Literal); ok && literal.String() == name {
			return i
		}
	}
	return -1
}

// newValue returns entry as a value on one line, its name first.
func newValue(entry any) (hujson.Value, error) {
	data, err := json.Marshal(entry)
	if err != nil {
		return hujson.Value{}, fmt.Errorf("encode entry: %w", err)
	}
	value, err := hujson.Parse(data)
	if err != nil {
		return hujson.Value{}, fmt.Errorf("encode entry: %w", err)
	}
	if object, ok := value.Value.(*hujson.Object); ok {
		nameFirst(object)
	}
	spaceOut(&value)
	return value, nil
}

func nameFirst(object *hujson.Object) {
	for i := range object.Members {
		if memberName(&object.Members[i]) != "name" {
			continue
		}
		name := object.Members[i]
		copy(object.Members[1:i+1], object.Members[:i])
		object.Members[0] = name
		return
	}
}

// spaceOut puts a space after each colon and comma.
func spaceOut(value *hujson.Value) {
	space := hujson.Extra(" ")
	switch v := value.Value.(type) {
	case *hujson.Object:
		for i := range v.Members {
			if i > 0 {
				v.Members[i].Name.BeforeExtra = space
			}
			v.Members[i].Value.BeforeExtra = space
			spaceOut(&v.Members[i].Value)
		}
	case *hujson.Array:
		for i := range v.Elements {
			if i > 0 {
				v.Elements[i].BeforeExtra = space
			}
			spaceOut(&v.Elements[i])
		}
	}
}

// lineStart returns the offset of the last line break of extra, before which all comments are; 0 is none.
func lineStart(extra hujson.Extra) int {
	n := bytes.LastIndexByte(extra, '\n')
	if n < 0 || len(bytes.TrimSpace(extra[n:])) > 0 {
		return 0
	}
	return n
}

// indentOf returns the line break and indent of a list's first entry, or a space where it stands on the bracket's line
// and no line break is needed.
func indentOf(array *hujson.Array, lineBreak bool) []byte {
	if len(array.Elements) == 0 {
		return []byte("\n    ")
	}
	first := array.Elements[0].BeforeExtra
	n := bytes.LastIndexByte(first, '\n')
	if n >= 0 && len(bytes.TrimSpace(first[n:])) == 0 {
		return bytes.Clone(first[n:])
	}
	if lineBreak {
		return []byte("\n")
	}
	return []byte(" ")
}

// joinExtra joins what stood before a removed entry with what follows it: the end of the line before the entry stays,
// the comments above the entry and on its line go.
func joinExtra(before, after hujson.Extra) hujson.Extra {
	end := bytes.IndexByte(before, '\n')
	start := bytes.IndexByte(after, '\n')
	if end < 0 || start < 0 {
		return after
	}
	joined := append(bytes.Clone(before[:end]), after[start:]...)
	if !hujson.Extra(joined).IsValid() {
		return append(bytes.Clone(before), after...)
	}
	return joined
}
