package scenario

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

const (
	// portsPerScript is the number of consecutive addresses that a script gets.
	portsPerScript = 40
	// firstPort and lastPort bound the ports of scripts, below those that the kernel hands out.
	firstPort = 20000
	lastPort  = 32000
	// blockSize counts a block's guard beside its ports.
	blockSize = portsPerScript + 1
	numBlocks = (lastPort - firstPort) / blockSize
	// pidStep spreads the test binaries that run at the same time.
	pidStep = 7
)

var errNoPorts = errors.New("no block of free ports")

// nextBlock is where the search for the next block begins. Blocks never overlap, so that a guard holds for all.
var nextBlock = struct {
	mu sync.Mutex
	n  int
}{n: os.Getpid() * pidStep}

// portBlock is a run of ports that one script may use.
type portBlock struct {
	first int
	// guard listens on the port before first, so that no other test binary takes the block.
	guard net.Listener
}

func (b portBlock) free() {
	_ = b.guard.Close()
}

// reservePorts returns a block of ports that nobody listens on.
func reservePorts() (portBlock, error) {
	nextBlock.mu.Lock()
	defer nextBlock.mu.Unlock()
	for range numBlocks {
		base := firstPort + nextBlock.n%numBlocks*blockSize
		nextBlock.n++
		guard, err := listen(base)
		if err != nil {
			continue
		}
		if arePortsFree(base + 1) {
			return portBlock{first: base + 1, guard: guard}, nil
		}
		_ = guard.Close()
	}
	return portBlock{}, errNoPorts
}

// arePortsFree tries all ports of a block. No process is forked meanwhile, since a child would hold the tried
// listeners open until it executes its program, and a connection to one would be reset then.
func arePortsFree(first int) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for i := range portsPerScript {
		ln, err := listen(first + i)
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}
