// Package streamorigin tells which software began an event stream. What two software versions of a backend server write
// doesn't fit together, so that a stream may go on only at a server of the version that began it.
package streamorigin

// Origin is what began a stream. The zero value stands for a stream that hasn't begun.
type Origin struct {
	// Pool is the name of the pool of the server that sent the stream's first event.
	Pool string
	// Version is the version of that server's software.
	Version string
}

// IsZero reports whether the stream hasn't begun.
func (o Origin) IsZero() bool { return o == Origin{} }
