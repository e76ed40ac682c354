// Package reference generates the reference page of a settings file or questionnaire from its JSON schema.
package reference

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/toucanroute/toucanroute/wire"
)

// schema holds the parts of a JSON schema that a reference page shows.
type schema struct {
	Title            string            `json:"title"`
	Description      string            `json:"description"`
	Type             string            `json:"type"`
	Ref              string            `json:"$ref"`
	Format           string            `json:"format"`
	Pattern          string            `json:"pattern"`
	Enum             []string          `json:"enum"`
	Default          json.RawMessage   `json:"default"`
	Minimum          *float64          `json:"minimum"`
	ExclusiveMinimum *float64          `json:"exclusiveMinimum"`
	Maximum          *float64          `json:"maximum"`
	MinLength        int               `json:"minLength"`
	MinItems         int               `json:"minItems"`
	Required         []string          `json:"required"`
	Properties       map[string]schema `json:"properties"`
	Items            *schema           `json:"items"`
	Defs             map[string]schema `json:"$defs"`
}

// Names returns the names of the documents that have a reference page.
func Names() []string { return []string{"settings", "questionnaire"} }

// Page returns the Markdown reference page of wire/schema/NAME.schema.json.
func Page(name string) (string, error) {
	data, err := wire.Schemas.ReadFile("schema/" + name + ".schema.json")
	if err != nil {
		return "", fmt.Errorf("read schema: %w", err)
	}
	var root schema
	if err := json.Unmarshal(data, &root); err != nil {
		return "", fmt.Errorf("parse schema %s: %w", name, err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\nWritten by `toucanctl reference %s` from `wire/schema/%s.schema.json`; don't edit.\n\n", root.Title, name, name)
	fmt.Fprintf(&b, "%s The file is JSON with comments and trailing commas. Unknown fields, fields given twice\n", root.Description)
	fmt.Fprint(&b, "and values out of range are errors; each names the file, line, column and field, what was found and what is allowed.\n")
	writeObject(&b, "", &root, &root)
	return b.String(), nil
}

// writeObject writes the table of an object's fields, then the tables of the objects nested in it.
func writeObject(b *strings.Builder, path string, object, root *schema) {
	heading := "The whole file"
	if path != "" {
		heading = "`" + path + "`"
	}
	fmt.Fprintf(b, "\n## %s\n\n", heading)
	if path != "" {
		fmt.Fprintf(b, "%s\n\n", withoutTypeName(object.Description))
	}
	fmt.Fprint(b, "| field | value | must be given | meaning |\n| --- | --- | --- | --- |\n")
	names := slices.Sorted(maps.Keys(object.Properties))
	for _, name := range names {
		property := object.Properties[name]
		writeField(b, name, &property, slices.Contains(object.Required, name), root)
	}
	for _, name := range names {
		property := object.Properties[name]
		nestedSchema, suffix := nestedObject(&property, root)
		if nestedSchema != nil {
			writeObject(b, joinPath(path, name)+suffix, nestedSchema, root)
		}
	}
}

func writeField(b *strings.Builder, name string, property *schema, required bool, root *schema) {
	requiredText := "no"
	if required {
		requiredText = "yes"
	}
	meaning := property.Description
	if nestedSchema, _ := nestedObject(property, root); nestedSchema != nil && meaning == "" {
		meaning = withoutTypeName(nestedSchema.Description)
	}
	fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", name, escapeCell(describeValue(property)), requiredText, escapeCell(meaning))
}

// nestedObject returns the schema of the object that a property holds, or nil if it holds none. The suffix is [] if the
// property is a list of such objects.
func nestedObject(property, root *schema) (object *schema, suffix string) {
	if property.Type == "array" && property.Items != nil {
		property, suffix = property.Items, "[]"
	}
	if property.Ref == "" {
		return nil, ""
	}
	found, ok := root.Defs[strings.TrimPrefix(property.Ref, "#/$defs/")]
	if !ok {
		return nil, ""
	}
	return &found, suffix
}

// describeValue describes the permitted values of a field.
func describeValue(p *schema) string {
	switch {
	case p.Ref != "":
		return "object"
	case p.Type == "array" && p.Items != nil && p.Items.Ref != "":
		return "list of objects" + describeMinItems(p)
	case p.Type == "array" && p.Items != nil:
		return "list of " + describeValue(p.Items) + describeMinItems(p)
	case len(p.Enum) > 0:
		return "one of `" + strings.Join(p.Enum, "`, `") + "`" + describeDefault(p)
	case strings.HasPrefix(p.Format, "ip-port"):
		return "IP address and port" + describeDefault(p)
	case p.Pattern != "":
		return "text that matches `" + p.Pattern + "`"
	case p.Type == "string":
		return "text" + describeDefault(p)
	case p.Type == "boolean":
		return "true or false" + describeDefault(p)
	}
	return p.Type + describeRange(p) + describeDefault(p)
}

func describeMinItems(p *schema) string {
	if p.MinItems == 0 {
		return ""
	}
	return fmt.Sprintf(", at least %d", p.MinItems)
}

func describeRange(p *schema) string {
	var parts []string
	if p.Minimum != nil {
		parts = append(parts, fmt.Sprintf("at least %v", *p.Minimum))
	}
	if p.ExclusiveMinimum != nil {
		parts = append(parts, fmt.Sprintf("more than %v", *p.ExclusiveMinimum))
	}
	if p.Maximum != nil {
		parts = append(parts, fmt.Sprintf("at most %v", *p.Maximum))
	}
	if len(parts) == 0 {
		return ""
	}
	return ", " + strings.Join(parts, " and ")
}

func describeDefault(p *schema) string {
	if len(p.Default) == 0 {
		return ""
	}
	return "; default `" + string(p.Default) + "`"
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// withoutTypeName removes the name of the Go type with which the description of a schema's object starts.
func withoutTypeName(description string) string {
	_, rest, ok := strings.Cut(description, " ")
	if !ok {
		return description
	}
	return strings.ToUpper(rest[:1]) + rest[1:]
}

// escapeCell escapes |, which would end a cell of a Markdown table.
func escapeCell(text string) string { return strings.ReplaceAll(text, "|", `\|`) }
