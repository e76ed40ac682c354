package document

import (
	"errors"
	"fmt"
	"strings"
)

// ErrField describes an invalid field of a document.
type ErrField struct {
	// File is the path of the document as given to Read or Parse.
	File string
	// Line and Column count from 1; Column counts bytes.
	Line, Column int
	// Field is the path of the field, such as peers[1].address; empty means the whole document.
	Field string
	// Found describes the invalid value.
	Found string
	// Allowed describes the permitted values.
	Allowed string
}

func (e ErrField) Error() string {
	field := e.Field
	if field == "" {
		field = "document"
	}
	return fmt.Sprintf("%s:%d:%d: %s: found %s, allowed: %s", e.File, e.Line, e.Column, field, e.Found, e.Allowed)
}

// IsErrField reports whether err is or wraps an ErrField, which describes an invalid field.
func IsErrField(err error) bool {
	var fieldErr ErrField
	return errors.As(err, &fieldErr)
}

// ErrFields holds all faults of one document, sorted by position.
type ErrFields struct {
	fields []ErrField
}

func (e ErrFields) Error() string {
	lines := make([]string, len(e.fields))
	for i, f := range e.fields {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Fields returns the faults.
func (e ErrFields) Fields() []ErrField { return e.fields }

// Unwrap returns the faults, so that errors.As finds an ErrField.
func (e ErrFields) Unwrap() []error {
	errs := make([]error, len(e.fields))
	for i, f := range e.fields {
		errs[i] = f
	}
	return errs
}
