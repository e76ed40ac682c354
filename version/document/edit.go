package document

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/tailscale/hujson"
)

// ErrNoEntry means that a list of a document has no entry with the given name.
type ErrNoEntry struct {
	// File is the path of the document.
	File string
	// List is the name of the field that holds the list.
	List string
	// Name is the name of the missing entry.
	Name string
}

func (e ErrNoEntry) Error() string {
	return fmt.Sprintf("%s: %s has no entry named %q", e.File, e.List, e.Name)
}

// Append returns the text of the document with entry appended to a list; the parameter list is the name of the
// top-level field that holds it. The rest of the text, with its comments, is unchanged.
func (d *Document) Append(list string, entry any) ([]byte, error) {
	value, err := newValue(entry)
	if err != nil {
		return nil, err
	}
	root, entries, err := d.entries(list)
	if err != nil {
		return nil, err
	}
	lastBreak := lastLineBreak(entries.AfterExtra)
	value.BeforeExtra = append(bytes.Clone(entries.AfterExtra[:lastBreak]), entryIndent(entries, lastBreak > 0)...)
	entries.AfterExtra = bytes.Clone(entries.AfterExtra[lastBreak:])
	if n := len(entries.Elements); n > 0 {
		value.AfterExtra = entries.Elements[n-1].AfterExtra
		entries.Elements[n-1].AfterExtra = nil
	}
	entries.Elements = append(entries.Elements, value)
	return root.Pack(), nil
}

// Remove returns the text of the document without the list's entry whose field "name" is name; the parameter list is
// the name of the top-level field that holds the list. The comments above the entry and on its line are removed too.
func (d *Document) Remove(list, name string) ([]byte, error) {
	root, entries, err := d.entries(list)
	if err != nil {
		return nil, err
	}
	n := entryIndex(entries, name)
	if n < 0 {
		return nil, ErrNoEntry{File: d.file, List: list, Name: name}
	}
	removed := entries.Elements[n]
	entries.Elements = append(entries.Elements[:n], entries.Elements[n+1:]...)
	if n < len(entries.Elements) {
		next := &entries.Elements[n]
		next.BeforeExtra = joinExtra(removed.BeforeExtra, next.BeforeExtra)
		return root.Pack(), nil
	}
	entries.AfterExtra = joinExtra(removed.BeforeExtra, entries.AfterExtra)
	if n > 0 {
		entries.Elements[n-1].AfterExtra = removed.AfterExtra
	}
	return root.Pack(), nil
}

// entries parses the document again, since a clone of the parsed document loses trailing commas. It returns the parsed
// document and one of its lists.
func (d *Document) entries(list string) (*hujson.Value, *hujson.Array, error) {
	root, err := hujson.Parse(d.data)
	if err != nil {
		return nil, nil, ErrFields{[]ErrField{syntaxFault(d.file, err)}}
	}
	value := child(&root, list)
	if value == nil {
		return nil, nil, d.JoinFaults(d.Fault([]string{list}, "nothing", "a list"))
	}
	entries, ok := value.Value.(*hujson.Array)
	if !ok {
		return nil, nil, d.JoinFaults(d.Fault([]string{list}, "", "a list"))
	}
	return &root, entries, nil
}

// entryIndex returns the index of the entry with that name; -1 if there is none.
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

// newValue encodes entry as a value on one line, with the field name first.
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
		moveNameFirst(object)
	}
	addSpaces(&value)
	return value, nil
}

// moveNameFirst makes the field "name" the first one of an object.
func moveNameFirst(object *hujson.Object) {
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

// addSpaces adds a space after each colon and comma.
func addSpaces(value *hujson.Value) {
	space := hujson.Extra(" ")
	switch v := value.Value.(type) {
	case *hujson.Object:
		for i := range v.Members {
			if i > 0 {
				v.Members[i].Name.BeforeExtra = space
			}
			v.Members[i].Value.BeforeExtra = space
			addSpaces(&v.Members[i].Value)
		}
	case *hujson.Array:
		for i := range v.Elements {
			if i > 0 {
				v.Elements[i].BeforeExtra = space
			}
			addSpaces(&v.Elements[i])
		}
	}
}

// lastLineBreak returns the offset of the last line break of extra, as hujson calls the white space and comments before
// or after a value. It returns 0 if there is no line break or if a comment follows the last one.
func lastLineBreak(extra hujson.Extra) int {
	n := bytes.LastIndexByte(extra, '\n')
	if n < 0 || len(bytes.TrimSpace(extra[n:])) > 0 {
		return 0
	}
	return n
}

// entryIndent returns the white space before a new entry of the list: the line break and indent of the first entry, or
// a default indent for an empty list. If the first entry is on the line of the opening bracket, it returns a line break
// if lineBreak is set, and a space otherwise.
func entryIndent(array *hujson.Array, lineBreak bool) []byte {
	if len(array.Elements) == 0 {
		return []byte("\n    ")
	}
	beforeFirst := array.Elements[0].BeforeExtra
	n := bytes.LastIndexByte(beforeFirst, '\n')
	if n >= 0 && len(bytes.TrimSpace(beforeFirst[n:])) == 0 {
		return bytes.Clone(beforeFirst[n:])
	}
	if lineBreak {
		return []byte("\n")
	}
	return []byte(" ")
}

// joinExtra joins the white space and comments before and after a removed entry. It drops the comments above the entry
// and on the entry's line, and keeps those on the line before. If that would cut a comment in two, it keeps all
// comments.
func joinExtra(before, after hujson.Extra) hujson.Extra {
	firstBreakBefore := bytes.IndexByte(before, '\n')
	firstBreakAfter := bytes.IndexByte(after, '\n')
	if firstBreakBefore < 0 || firstBreakAfter < 0 {
		return after
	}
	joined := append(bytes.Clone(before[:firstBreakBefore]), after[firstBreakAfter:]...)
	if !hujson.Extra(joined).IsValid() {
		return append(bytes.Clone(before), after...)
	}
	return joined
}
