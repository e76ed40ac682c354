package caller

import (
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(leakCheck{m})
	os.Exit(0)
}

// leakCheck closes the test client's idle connections before leaks are looked for.
type leakCheck struct{ m *testing.M }

func (l leakCheck) Run() int {
	code := l.m.Run()
	http.DefaultClient.CloseIdleConnections()
	return code
}
