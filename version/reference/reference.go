// Package reference writes the reference page of a document from its schema.
package reference

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/toucanroute/toucanroute/wire"
)

// schema is the part of a JSON schema that a page shows.
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

// Names returns the documents that have a reference page.
func Names() []string { return []string{"settings", "questionnaire"} }

// Page returns the Markdown page of wire/schema/NAME.schema.json.
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

// writeObject writes the table of an object, then those of the objects below it.
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
		below, suffix := nested(&property, root)
		if below != nil {
			writeObject(b, joinPath(path, name)+suffix, below, root)
		}
	}
}

func writeField(b *strings.Builder, name string, property *schema, required bool, root *schema) {
	must := "no"
	if required {
		must = "yes"
	}
	meaning := property.Description
	if below, _ := nested(property, root); below != nil && meaning == "" {
		meaning = withoutTypeName(below.Description)
	}
	fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", name, escape(valueOf(property)), must, escape(meaning))
}

// nested returns the object that a property holds, and [] where it is a list of them.
func nested(property, root *schema) (below *schema, suffix string) {
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

// valueOf tells what a field may hold.
func valueOf(p *schema) string {
	switch {
	case p.Ref != "":
		return "object"
	case p.Type == "array" && p.Items != nil && p.Items.Ref != "":
		return "list of objects" + minItems(p)
	case p.Type == "array" && p.Items != nil:
		return "list of " + valueOf(p.Items) + minItems(p)
	case len(p.Enum) > 0:
		return "one of `" + strings.Join(p.Enum, "`, `") + "`" + defaultOf(p)
	case strings.HasPrefix(p.Format, "ip-port"):
		return "IP address and port" + defaultOf(p)
	case p.Pattern != "":
		return "text that matches `" + p.Pattern + "`"
	case p.Type == "string":
		return "text" + defaultOf(p)
	case p.Type == "boolean":
		return "true or false" + defaultOf(p)
	}
	return p.Type + rangeOf(p) + defaultOf(p)
}

func minItems(p *schema) string {
	if p.MinItems == 0 {
		return ""
	}
	return fmt.Sprintf(", at least %d", p.MinItems)
}

func rangeOf(p *schema) string {
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

func defaultOf(p *schema) string {
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

// withoutTypeName drops the name of the Go type that starts a description.
func withoutTypeName(description string) string {
	_, rest, ok := strings.Cut(description, " ")
	if !ok {
		return description
	}
	return strings.ToUpper(rest[:1]) + rest[1:]
}

// escape keeps | from ending a table's cell.
func escape(text string) string { return strings.ReplaceAll(text, "|", `\|`) }
