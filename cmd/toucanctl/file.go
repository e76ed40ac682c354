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

// writeFile writes a file by way of write.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// mustAdd panics where a subcommand's options are faulty, which is a fault of the program.
func mustAdd(err error) {
	if err != nil {
		panic(err)
	}
}
