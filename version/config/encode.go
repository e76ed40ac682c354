package config

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanroute/toucanroute/wire"
)

// Encode returns cfg as indented JSON; equal configurations give equal bytes.
func Encode(cfg *wire.Config) ([]byte, error) {
	data, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return append(data, '\n'), nil
}

// Decode reads a configuration.
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

// DocumentName returns the object name of cfg, vNNNNNNNN-HASH8: its version and a hash of its content.
func DocumentName(cfg *wire.Config) (string, error) {
	data, err := Encode(cfg)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("v%08d-%08x", cfg.Version, uint32(xxhash.Sum64(data))), nil
}
