// Package wire holds the types of all messages, generated from the schemas in wire/schema.
package wire

import "embed"

// Schemas holds the schema files by name, as schema/NAME.schema.json.
//
//go:embed schema/*.json
var Schemas embed.FS
