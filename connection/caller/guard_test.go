package caller

import (
	"sync"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// nbio may close a parser as soon as its guard is installed. Nothing but the guard orders the two goroutines, which the race
// detector checks.
func TestParserIsClosedAfterGuardWasInstalled(t *testing.T) {
	parser := nbhttp.NewParser(nil, &nbhttp.Engine{}, nbhttp.NewServerProcessor(), false, nil)
	conn := &nbio.Conn{}
	conn.SetSession(parser)
	var closing sync.WaitGroup
	closing.Go(func() {
		// A channel would order the goroutines.
		time.Sleep(50 * time.Millisecond)
		parser.CloseAndClean(nil)
	})
	(&Server{}).onOpen(conn)
	closing.Wait()
}
