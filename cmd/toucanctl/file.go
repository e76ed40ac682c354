package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// readJSON reads a JSON file into a value of type T.
func readJSON[T any](path string) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	v := new(T)
	if err := json.Unmarshal(data, v); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return v, nil
}

// writeFile creates the file, or truncates it, and calls write with it.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// mustAdd panics if a subcommand or option group couldn't be added, which is a programming error.
func mustAdd(err error) {
	if err != nil {
		panic(err)
	}
}
