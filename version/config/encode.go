package config

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanroute/toucanroute/wire"
)

// Encode returns cfg as indented JSON. Equal configurations have equal encodings.
func Encode(cfg *wire.Config) ([]byte, error) {
	data, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return append(data, '\n'), nil
}

// Decode parses a configuration from JSON.
func Decode(data []byte) (*wire.Config, error) {
	cfg := &wire.Config{}
	if err := json.Unmarshal(data, cfg); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return cfg, nil
}

// Clone returns a deep copy of cfg.
func Clone(cfg *wire.Config) (*wire.Config, error) {
	data, err := Encode(cfg)
	if err != nil {
		return nil, err
	}
	return Decode(data)
}

// DocumentName returns the name of the object that holds cfg in the platform's object API: vNNNNNNNN-HASH8, with the
// version and a hash of the encoded configuration.
func DocumentName(cfg *wire.Config) (string, error) {
	data, err := Encode(cfg)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("v%08d-%08x", cfg.Version, uint32(xxhash.Sum64(data))), nil
}
