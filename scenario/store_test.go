package scenario

import (
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/toucanroute/toucanroute/platform/platformtest"
)

// store starts a stand-in of the platform from which forwarding instances read: store FILE ADDRESS. Each line of the file is
// an object: its kind and name, separated by a slash, and its spec. TOUCAN_STORE is set to the address of the stand-in, and
// TOUCAN_INSTANCES to ADDRESS.
func store(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: store FILE ADDRESS")
	}
	p := platformtest.New()
	ts.Defer(p.Close)
	for line := range strings.Lines(ts.ReadFile(args[0])) {
		key, spec, _ := strings.Cut(strings.TrimSpace(line), " ")
		kind, name, ok := strings.Cut(key, "/")
		if !ok {
			ts.Fatalf("%s: %q names no object", args[0], line)
		}
		p.WriteObject(kind, name, spec)
	}
	s := ts.Value(sessionKey{}).(*session)
	for name, value := range map[string]string{"TOUCAN_STORE": p.Address(), "TOUCAN_INSTANCES": args[1]} {
		ts.Setenv(name, value)
		s.env.Setenv(name, value)
	}
}
