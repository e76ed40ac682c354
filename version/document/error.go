package document

import (
	"errors"
	"fmt"
	"strings"
)

// ErrField tells what is wrong with one field of a document.
type ErrField struct {
	// File is the path of the document as it was given.
	File string
	// Line and Column count from 1; Column counts bytes.
	Line, Column int
	// Field is the path of the field, such as peers[1].address; empty is the whole document.
	Field string
	// Found is what stands there.
	Found string
	// Allowed is what may stand there.
	Allowed string
}

func (e ErrField) Error() string {
	field := e.Field
	if field == "" {
		field = "document"
	}
	return fmt.Sprintf("%s:%d:%d: %s: found %s, allowed: %s", e.File, e.Line, e.Column, field, e.Found, e.Allowed)
}

// IsErrField tells whether err is or holds an ErrField.
func IsErrField(err error) bool {
	var field ErrField
	return errors.As(err, &field)
}

// ErrFields holds all faults of one document, in the order of their positions.
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

// Unwrap lets errors.As find the single faults.
func (e ErrFields) Unwrap() []error {
	errs := make([]error, len(e.fields))
	for i, f := range e.fields {
		errs[i] = f
	}
	return errs
}
