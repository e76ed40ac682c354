package document

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/toucanroute/toucanroute/wire"
)

// allowedAddress describes the permitted values of an address field.
const allowedAddress = "an IP address and port, such as 127.0.0.1:8080"

// Schema validates documents of one kind.
type Schema struct {
	compiler *jsonschema.Compiler
	schema   *jsonschema.Schema
}

// NewSchema loads the schema in wire/schema/NAME.schema.json.
func NewSchema(name string) (*Schema, error) {
	file := "schema/" + name + ".schema.json"
	data, err := wire.Schemas.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read schema: %w", err)
	}
	return ParseSchema(name, data)
}

// ParseSchema compiles the text of a schema; name is its name in errors.
func ParseSchema(name string, data []byte) (*Schema, error) {
	file := name + ".schema.json"
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("parse schema %s: %w", name, err)
	}
	c := jsonschema.NewCompiler()
	c.RegisterFormat(&jsonschema.Format{Name: "ip-port", Validate: checkAddress})
	c.RegisterFormat(&jsonschema.Format{Name: "ip-port-or-empty", Validate: checkAddressOrEmpty})
	c.AssertFormat()
	if err := c.AddResource(file, doc); err != nil {
		return nil, fmt.Errorf("add schema %s: %w", name, err)
	}
	schema, err := c.Compile(file)
	if err != nil {
		return nil, fmt.Errorf("compile schema %s: %w", name, err)
	}
	return &Schema{compiler: c, schema: schema}, nil
}

// checkAddress is the check of the schema format ip-port. Values that aren't text pass, since the schema's type rejects
// them.
func checkAddress(v any) error {
	s, ok := v.(string)
	if !ok {
		return nil
	}
	_, err := netip.ParseAddrPort(s)
	return err
}

func checkAddressOrEmpty(v any) error {
	if v == "" {
		return nil
	}
	return checkAddress(v)
}

// Check validates the document against the schema. It returns all faults as an ErrFields. If Parse found faults, it
// returns only those.
func (s *Schema) Check(d *Document) error {
	if len(d.faults) > 0 {
		return d.JoinFaults()
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(d.standardJSON))
	if err != nil {
		return d.JoinFaults(d.Fault(nil, err.Error(), "JSON with comments and trailing commas"))
	}
	err = s.schema.Validate(value)
	if err == nil {
		return d.JoinFaults()
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return fmt.Errorf("check %s: %w", d.file, err)
	}
	return d.JoinFaults(s.faults(d, invalid)...)
}

// faults returns the faults of a validation error. Its causes form a tree, whose leaves describe the invalid fields.
func (s *Schema) faults(d *Document, e *jsonschema.ValidationError) []ErrField {
	if len(e.Causes) == 0 {
		return s.leafFaults(d, e)
	}
	var all []ErrField
	for _, cause := range e.Causes {
		all = append(all, s.faults(d, cause)...)
	}
	return all
}

// leafFaults returns the faults of a validation error without causes.
func (s *Schema) leafFaults(d *Document, e *jsonschema.ValidationError) []ErrField {
	path := e.InstanceLocation
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		return s.missingFieldFaults(d, path, k.Missing)
	case *kind.AdditionalProperties:
		return s.unknownFieldFaults(d, e, k.Properties)
	case *kind.Enum:
		return []ErrField{d.Fault(path, "", "one of "+quoteAll(k.Want))}
	case *kind.Type:
		return []ErrField{d.Fault(path, "", "a value of type "+strings.Join(k.Want, " or "))}
	case *kind.Format:
		return []ErrField{d.Fault(path, "", allowedFormat(k.Want))}
	case *kind.Pattern:
		return []ErrField{d.Fault(path, "", "text that matches "+k.Want)}
	case *kind.Minimum:
		return []ErrField{d.Fault(path, "", "at least "+k.Want.RatString())}
	case *kind.Maximum:
		return []ErrField{d.Fault(path, "", "at most "+k.Want.RatString())}
	case *kind.ExclusiveMinimum:
		return []ErrField{d.Fault(path, "", "more than "+k.Want.RatString())}
	case *kind.MinLength:
		return []ErrField{d.Fault(path, "", fmt.Sprintf("text of at least %d characters", k.Want))}
	case *kind.MinItems:
		return []ErrField{d.Fault(path, "", fmt.Sprintf("at least %d entries", k.Want))}
	}
	printer := message.NewPrinter(language.English)
	return []ErrField{d.Fault(path, "", e.ErrorKind.LocalizedString(printer))}
}

func (s *Schema) missingFieldFaults(d *Document, path, names []string) []ErrField {
	faults := make([]ErrField, len(names))
	for i, name := range names {
		faults[i] = d.Fault(joinPath(path, name), "nothing", "the field must be given")
	}
	return faults
}

func (s *Schema) unknownFieldFaults(d *Document, e *jsonschema.ValidationError, names []string) []ErrField {
	allowed := "a known field"
	if subschema, err := s.compiler.Compile(e.SchemaURL); err == nil {
		known := make([]string, 0, len(subschema.Properties))
		for name := range subschema.Properties {
			known = append(known, name)
		}
		slices.Sort(known)
		allowed = "one of the fields " + strings.Join(known, ", ")
	}
	slices.Sort(names)
	faults := make([]ErrField, len(names))
	for i, name := range names {
		faults[i] = d.memberNameFault(e.InstanceLocation, name, "an unknown field", allowed)
	}
	return faults
}

func allowedFormat(name string) string {
	switch name {
	case "ip-port":
		return allowedAddress
	case "ip-port-or-empty":
		return allowedAddress + ", or empty"
	}
	return "text of the format " + name
}

func quoteAll(values []any) string {
	quoted := make([]string, len(values))
	for i, v := range values {
		quoted[i] = fmt.Sprintf("%q", fmt.Sprint(v))
	}
	return strings.Join(quoted, ", ")
}
