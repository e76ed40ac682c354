// Package port reserves blocks of free loopback ports for scenarios and tools.
package port

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

const (
	// BlockSize is the number of consecutive ports of a block.
	BlockSize = 99
	// first and last bound the ports of all blocks, below those that the kernel hands out.
	first = 24_000
	last  = 32_000
	// stride counts a block's guard beside its ports.
	stride    = BlockSize + 1
	numBlocks = (last - first) / stride
	// pidStep spreads the processes that reserve at the same time.
	pidStep = 7
)

// ErrNone tells that no block is free.
var ErrNone = errors.New("no block of free ports")

// next is where the search for the next block begins. Blocks never overlap, so that a guard holds for all processes.
var next = struct {
	mu sync.Mutex
	n  int
}{n: os.Getpid() * pidStep}

// Block is a run of ports that its owner may use until Free.
type Block struct {
	first int
	// guard listens on the port before first, so that no other process takes the block.
	guard net.Listener
}

// Reserve returns a block of ports that nobody listens on.
func Reserve() (*Block, error) {
	next.mu.Lock()
	defer next.mu.Unlock()
	for range numBlocks {
		base := first + next.n%numBlocks*stride
		next.n++
		guard, err := listen(base)
		if err != nil {
			continue
		}
		if areFree(base + 1) {
			return &Block{first: base + 1, guard: guard}, nil
		}
		_ = guard.Close()
	}
	return nil, ErrNone
}

// Port returns the i-th port, from 0.
func (b *Block) Port(i int) int { return b.first + i }

// Address returns the loopback address of the i-th port, from 0.
func (b *Block) Address(i int) string { return address(b.first + i) }

// Free lets others take the block.
func (b *Block) Free() { _ = b.guard.Close() }

// areFree tries all ports of a block. No process is forked meanwhile, since a child would hold the tried listeners
// open until it executes its program, and a connection to one would be reset then.
func areFree(base int) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for i := range BlockSize {
		ln, err := listen(base + i)
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

func listen(port int) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(context.Background(), "tcp", address(port))
}

func address(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
