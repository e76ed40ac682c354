package arrival

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/toucanroute/toucanroute/wire"
)

// ErrFile means that a value in an arrival file can't be decoded.
type ErrFile struct {
	// Number is the position of the value in the file, counted from 1.
	Number int
	// Err is the decoding error.
	Err error
}

func (e ErrFile) Error() string { return fmt.Sprintf("decode arrival %d: %v", e.Number, e.Err) }

func (e ErrFile) Unwrap() error { return e.Err }

// Write writes arrivals to w, one JSON value per line.
func Write(w io.Writer, arrivals []wire.Arrival) error {
	enc := json.NewEncoder(w)
	for i := range arrivals {
		if err := enc.Encode(&arrivals[i]); err != nil {
			return err
		}
	}
	return nil
}

// Read reads all arrivals from r.
func Read(r io.Reader) ([]wire.Arrival, error) {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	var all []wire.Arrival
	for {
		var a wire.Arrival
		err := dec.Decode(&a)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, ErrFile{Number: len(all) + 1, Err: err}
		}
		all = append(all, a)
	}
}
