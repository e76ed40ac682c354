// Package document reads JSON with comments, checks it against a schema and tells where each fault stands.
package document

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxBytes is the largest document that is read.
const maxBytes = 4 << 20

// maxNumberBytes is the longest number that is read.
const maxNumberBytes = 64

// maxExponentBytes is the longest exponent of a number that reads as zero.
const maxExponentBytes = 3

// maxFoundBytes is the most of a value that an error shows.
const maxFoundBytes = 60

// Document is a parsed JSON document with comments.
type Document struct {
	file     string
	data     []byte
	standard []byte
	root     hujson.Value
	faults   []ErrField
}

// Read parses the file at path.
func Read(path string) (*Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	return Parse(path, data)
}

// Parse parses data; file is the name that errors give. A syntax fault is an ErrFields.
func Parse(file string, data []byte) (*Document, error) {
	d := &Document{file: file, data: data}
	if len(data) > maxBytes {
		return nil, ErrFields{[]ErrField{{
			File: file, Line: 1, Column: 1,
			Found: fmt.Sprintf("%d bytes", len(data)), Allowed: fmt.Sprintf("at most %d bytes", maxBytes),
		}}}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, ErrFields{[]ErrField{syntaxFault(file, err)}}
	}
	d.root = root
	plain := root.Clone()
	plain.Standardize()
	d.standard = plain.Pack()
	d.inspect(&d.root, nil)
	return d, nil
}

// File returns the name of the document.
func (d *Document) File() string { return d.file }

// syntaxPosition matches the position that hujson puts before its message.
var syntaxPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (?s)(.*)$`)

func syntaxFault(file string, err error) ErrField {
	fault := ErrField{File: file, Line: 1, Column: 1, Found: err.Error(), Allowed: "JSON with comments and trailing commas"}
	m := syntaxPosition.FindStringSubmatch(err.Error())
	if m == nil {
		return fault
	}
	fault.Line, _ = strconv.Atoi(m[1])
	fault.Column, _ = strconv.Atoi(m[2])
	fault.Found = m[3]
	return fault
}

// Decode stores the document in v, refusing fields that v doesn't have.
func (d *Document) Decode(v any) error {
	dec := json.NewDecoder(bytes.NewReader(d.standard))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		return nil
	}
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return fmt.Errorf("decode %s: %w", d.file, err)
	}
	path := strings.Split(typeErr.Field, ".")
	return ErrFields{[]ErrField{d.Fault(path, "a "+typeErr.Value, "a value of type "+typeErr.Type.String())}}
}

// Fault returns the error for the value at path; an empty found shows the value itself.
// A path that leads nowhere is placed at the nearest object or array above it.
func (d *Document) Fault(path []string, found, allowed string) ErrField {
	value, _ := d.find(path)
	if found == "" {
		found = show(value)
	}
	line, column := d.position(value.StartOffset)
	return ErrField{File: d.file, Line: line, Column: column, Field: fieldPath(path), Found: found, Allowed: allowed}
}

// nameFault returns the error for the member name of the object at path.
func (d *Document) nameFault(path []string, name, found, allowed string) ErrField {
	fault := d.Fault(joinPath(path, name), found, allowed)
	value, _ := d.find(path)
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return fault
	}
	for i := range object.Members {
		if memberName(&object.Members[i]) == name {
			fault.Line, fault.Column = d.position(object.Members[i].Name.StartOffset)
		}
	}
	return fault
}

// Join sorts faults by position together with those found while parsing; nil is none.
func (d *Document) Join(faults ...ErrField) error {
	all := slices.Concat(d.faults, faults)
	if len(all) == 0 {
		return nil
	}
	slices.SortStableFunc(all, func(a, b ErrField) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return ErrFields{all}
}

// find returns the value at path and whether the whole path was there.
func (d *Document) find(path []string) (*hujson.Value, bool) {
	value := &d.root
	for _, step := range path {
		next := child(value, step)
		if next == nil {
			return value, false
		}
		value = next
	}
	return value, true
}

func child(value *hujson.Value, step string) *hujson.Value {
	switch v := value.Value.(type) {
	case *hujson.Object:
		for i := range v.Members {
			if memberName(&v.Members[i]) == step {
				return &v.Members[i].Value
			}
		}
	case *hujson.Array:
		n, err := strconv.Atoi(step)
		if err == nil && n >= 0 && n < len(v.Elements) {
			return &v.Elements[n]
		}
	}
	return nil
}

func memberName(m *hujson.ObjectMember) string {
	literal, _ := m.Name.Value.(hujson.Literal)
	return literal.String()
}

// inspect records a fault for each member name that an object gives twice and for each number out of range.
func (d *Document) inspect(value *hujson.Value, path []string) {
	switch v := value.Value.(type) {
	case *hujson.Object:
		seen := map[string]bool{}
		for i := range v.Members {
			name := memberName(&v.Members[i])
			below := joinPath(path, name)
			if seen[name] {
				d.faults = append(d.faults, d.nameFault(path, name, "the field twice", "each field once"))
			}
			seen[name] = true
			d.inspect(&v.Members[i].Value, below)
		}
	case *hujson.Array:
		for i := range v.Elements {
			d.inspect(&v.Elements[i], joinPath(path, strconv.Itoa(i)))
		}
	case hujson.Literal:
		if v.Kind() == '0' && !isSmall(v) {
			d.faults = append(d.faults, d.Fault(path, "", "a number that a 64-bit float holds"))
		}
	}
}

// isSmall tells whether a number has an ordinary size; others cost much to compare exactly.
func isSmall(number hujson.Literal) bool {
	f, err := strconv.ParseFloat(string(number), 64)
	if err != nil || len(number) > maxNumberBytes {
		return false
	}
	if f != 0 {
		return true
	}
	_, exponent, _ := strings.Cut(strings.ToLower(string(number)), "e")
	return len(exponent) <= maxExponentBytes
}

// position turns a byte offset into a line and a column.
func (d *Document) position(offset int) (line, column int) {
	before := d.data[:min(offset, len(d.data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// show returns a value in the words of an error.
func show(value *hujson.Value) string {
	switch v := value.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array of " + strconv.Itoa(len(v.Elements))
	case hujson.Literal:
		if len(v) > maxFoundBytes {
			return strings.ToValidUTF8(string(v[:maxFoundBytes]), "") + "..."
		}
		return string(v)
	}
	return "nothing"
}

// joinPath returns path with one step more; it leaves path as it is.
func joinPath(path []string, step string) []string {
	return append(slices.Clone(path), step)
}

// fieldPath writes a path as a reader of the document would: peers[1].address.
func fieldPath(path []string) string {
	var b strings.Builder
	for _, step := range path {
		if _, err := strconv.Atoi(step); err == nil {
			b.WriteString("[" + step + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(step)
	}
	return b.String()
}
