// Package document parses JSON with comments, validates it against a JSON schema, reports the position of each fault,
// and edits lists without losing the comments.
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

// maxDocumentBytes is the maximum size of a document.
const maxDocumentBytes = 4 << 20

// maxNumberBytes is the maximum length of a number in the text.
const maxNumberBytes = 64

// maxExponentBytes is the maximum length of the exponent of a number that parses as zero, such as 0e9 or 1e-999. The
// schema check is slow for large exponents.
const maxExponentBytes = 3

// maxFoundBytes is the maximum length of a value in an error message; longer values are cut.
const maxFoundBytes = 60

// Document is a parsed JSON document with comments.
type Document struct {
	file string
	data []byte
	// standardJSON is data without comments and trailing commas.
	standardJSON []byte
	root         hujson.Value
	// faults holds the duplicate names and out-of-range numbers that Parse found.
	faults []ErrField
}

// Read parses the file at path.
func Read(path string) (*Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	return Parse(path, data)
}

// Parse parses data; file is the name of the document in errors. A syntax error is returned as an ErrFields.
func Parse(file string, data []byte) (*Document, error) {
	d := &Document{file: file, data: data}
	if len(data) > maxDocumentBytes {
		return nil, ErrFields{[]ErrField{{
			File: file, Line: 1, Column: 1,
			Found: fmt.Sprintf("%d bytes", len(data)), Allowed: fmt.Sprintf("at most %d bytes", maxDocumentBytes),
		}}}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, ErrFields{[]ErrField{syntaxFault(file, err)}}
	}
	d.root = root
	standard := root.Clone()
	standard.Standardize()
	d.standardJSON = standard.Pack()
	d.checkValue(&d.root, nil)
	return d, nil
}

// File returns the name of the document in errors.
func (d *Document) File() string { return d.file }

// JSON returns the document without comments and trailing commas.
func (d *Document) JSON() []byte { return d.standardJSON }

// syntaxPosition matches the position at the start of hujson's error messages.
var syntaxPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (?s)(.*)$`)

// syntaxFault returns hujson's syntax error as an ErrField with its position.
func syntaxFault(file string, err error) ErrField {
	fault := ErrField{File: file, Line: 1, Column: 1, Found: err.Error(), Allowed: "JSON with comments and trailing commas"}
	match := syntaxPosition.FindStringSubmatch(err.Error())
	if match == nil {
		return fault
	}
	fault.Line, _ = strconv.Atoi(match[1])
	fault.Column, _ = strconv.Atoi(match[2])
	fault.Found = match[3]
	return fault
}

// Decode decodes the document into v. Fields that v doesn't have are an error.
func (d *Document) Decode(v any) error {
	dec := json.NewDecoder(bytes.NewReader(d.standardJSON))
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

// Fault returns an error for the value at path, which lists the field names and array indexes that lead to the value.
// If found is empty, the error shows the value itself. If there is no value at path, the error has the position of the
// nearest enclosing object or array.
func (d *Document) Fault(path []string, found, allowed string) ErrField {
	value, _ := d.find(path)
	if found == "" {
		found = describe(value)
	}
	line, column := d.position(value.StartOffset)
	return ErrField{File: d.file, Line: line, Column: column, Field: fieldPath(path), Found: found, Allowed: allowed}
}

// memberNameFault returns an error that has the position of a member name of the object at path.
func (d *Document) memberNameFault(path []string, name, found, allowed string) ErrField {
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

// JoinFaults returns faults and those that Parse found as one ErrFields, sorted by position. It returns nil if there
// are none.
func (d *Document) JoinFaults(faults ...ErrField) error {
	all := slices.Concat(d.faults, faults)
	if len(all) == 0 {
		return nil
	}
	slices.SortStableFunc(all, func(a, b ErrField) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return ErrFields{all}
}

// find returns the value at path and true, or the nearest enclosing value and false if there is no value at path.
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

// child returns the value of the field, or the array element, that one step of a path names; nil if there is none.
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

// checkValue records a fault for each duplicate member name of an object and each number that is out of range,
// recursively.
func (d *Document) checkValue(value *hujson.Value, path []string) {
	switch v := value.Value.(type) {
	case *hujson.Object:
		seen := map[string]bool{}
		for i := range v.Members {
			name := memberName(&v.Members[i])
			memberPath := joinPath(path, name)
			if seen[name] {
				d.faults = append(d.faults, d.memberNameFault(path, name, "the field twice", "each field once"))
			}
			seen[name] = true
			d.checkValue(&v.Members[i].Value, memberPath)
		}
	case *hujson.Array:
		for i := range v.Elements {
			d.checkValue(&v.Elements[i], joinPath(path, strconv.Itoa(i)))
		}
	case hujson.Literal:
		if v.Kind() == '0' && !hasOrdinarySize(v) {
			d.faults = append(d.faults, d.Fault(path, "", "a number that a 64-bit float holds"))
		}
	}
}

// hasOrdinarySize reports whether a number is short and fits in a 64-bit float. The schema check computes with exact
// numbers, which is slow for numbers that don't.
func hasOrdinarySize(number hujson.Literal) bool {
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

// position returns the line and column of a byte offset, both counted from 1.
func (d *Document) position(offset int) (line, column int) {
	before := d.data[:min(offset, len(d.data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// describe returns a short description of a value for an error message.
func describe(value *hujson.Value) string {
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

// joinPath returns a copy of path with step appended.
func joinPath(path []string, step string) []string {
	return append(slices.Clone(path), step)
}

// fieldPath formats a path for error messages, such as peers[1].address.
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
