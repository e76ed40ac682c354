package launch

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// isRunning tells whether a process is there and no zombie.
func isRunning(pid int) bool {
	return syscall.Kill(pid, 0) == nil
}

func TestStopEndsAll(t *testing.T) {
	s := &Supervisor{Dir: t.TempDir()}
	plain, err := s.Start("plain", "sleep", "600")
	assert.NilError(t, err)
	other, err := s.Start("other", "sleep", "600")
	assert.NilError(t, err)
	assert.Assert(t, isRunning(plain.Pid()) && isRunning(other.Pid()))
	s.Stop()
	assert.Assert(t, !isRunning(plain.Pid()) && !isRunning(other.Pid()))
	select {
	case ended := <-s.Ended():
		t.Fatal("told of an end that was asked for: ", ended)
	default:
	}
}

func TestUnaskedEndIsTold(t *testing.T) {
	s := &Supervisor{Dir: t.TempDir()}
	defer s.Stop()
	_, err := s.Start("brief", "sh", "-c", "echo reason; exit 3")
	assert.NilError(t, err)
	select {
	case ended := <-s.Ended():
		assert.Equal(t, ended.Name, "brief")
		var asErr error = ended
		assert.Assert(t, errors.As(asErr, new(ErrEnded)))
		log, err := os.ReadFile(ended.Log)
		assert.NilError(t, err)
		assert.Equal(t, strings.TrimSpace(string(log)), "reason")
	case <-time.After(10 * time.Second):
		t.Fatal("not told")
	}
}

func TestProgramThatIsNotThere(t *testing.T) {
	s := &Supervisor{Dir: t.TempDir()}
	_, err := s.Start("none", "./no-such-program")
	assert.ErrorContains(t, err, "start none")
	s.Stop()
}
