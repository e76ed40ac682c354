package arrival

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/toucanroute/toucanroute/wire"
)

// ErrFile tells where an arrival file can't be read.
type ErrFile struct {
	// Number is the number of the value in the file, from 1.
	Number int
	// Err is what is wrong with it.
	Err error
}

func (e ErrFile) Error() string { return fmt.Sprintf("arrival %d: %v", e.Number, e.Err) }

func (e ErrFile) Unwrap() error { return e.Err }

// Write writes arrivals to w, one JSON value a line.
func Write(w io.Writer, arrivals []wire.Arrival) error {
	enc := json.NewEncoder(w)
	for i := range arrivals {
		if err := enc.Encode(&arrivals[i]); err != nil {
			return err
		}
	}
	return nil
}

// Read reads all arrivals of r.
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
