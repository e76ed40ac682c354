package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/toucanroute/toucanroute/process/memory"
)

// FuzzEventReader reads any bytes as a stream of events: they are passed on unchanged and in order, up to the last whole
// event, however the bytes arrive.
func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{"", "\n", "id: 1\ndata: x\n\n", "id:1\r\ndata: x\r\n\r\nid: 2\nda", "data: x", "\r\r\n\n\x00id:", ": comment\n\n"} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, byteByByte bool) {
		budget := memory.NewBudget(1 << 20)
		var source io.Reader = bytes.NewReader(data)
		if byteByByte {
			source = iotest.OneByteReader(source)
		}
		events := eventReader{r: bufio.NewReaderSize(source, streamBufferBytes), event: buffer{budget: budget, maxBytes: maxEventBytes}}
		var passed []byte
		for {
			event, id, err := events.next()
			if err != nil {
				isWhole := len(passed) == len(data)
				if isWhole != errors.Is(err, io.EOF) && !errors.Is(err, errBufferFull) {
					t.Fatalf("%d of %d bytes in whole events, then %v", len(passed), len(data), err)
				}
				break
			}
			if len(event) == 0 || !bytes.Contains(event, []byte(id)) {
				t.Fatalf("event %q with id %q", event, id)
			}
			hasDataField(event)
			passed = append(passed, event...)
		}
		events.event.reset()
		if !bytes.HasPrefix(data, passed) {
			t.Fatalf("%q became %q", data, passed)
		}
		if !budget.TryTake(1<<20, memory.Running) {
			t.Fatal("memory was not given back")
		}
	})
}
