// Package port reserves blocks of free loopback ports for tests and tools. All processes use the same boundaries of
// blocks. A process reserves a block by listening on the port before it, the guard port.
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
	// BlockSize is the number of consecutive ports in a block.
	BlockSize = 99
	// firstPort and lastPort limit the ports of all blocks. They are below the range of ephemeral ports, which the
	// kernel assigns to outgoing connections.
	firstPort = 24_000
	lastPort  = 32_000
	// blockStride is the number of ports from the start of a block to that of the next one: the ports of a block and a
	// guard port.
	blockStride = BlockSize + 1
	numBlocks   = (lastPort - firstPort) / blockStride
	// pidStride is the number of blocks between the starting points of the searches of two processes with consecutive
	// process IDs. Such processes often run at the same time, and then don't try the same blocks first. Since 7 and
	// numBlocks have no common divisor, all blocks are used as starting points.
	pidStride = 7
)

// ErrNoFreeBlock is returned if no block is free.
var ErrNoFreeBlock = errors.New("no block of free ports")

// nextBlock holds in n the number of the block at which the next search of this process begins, modulo numBlocks.
var nextBlock = struct {
	mu sync.Mutex
	n  int
}{n: os.Getpid() * pidStride}

// Block is a range of consecutive ports that is reserved until Release is called.
type Block struct {
	firstPort int
	// guardListener listens on the guard port, which is the port before firstPort, so that no other process reserves
	// the block.
	guardListener net.Listener
}

// Reserve returns a block of ports on which no process listens.
func Reserve() (*Block, error) {
	nextBlock.mu.Lock()
	defer nextBlock.mu.Unlock()
	for range numBlocks {
		guardPort := firstPort + nextBlock.n%numBlocks*blockStride
		nextBlock.n++
		guardListener, err := listen(guardPort)
		if err != nil {
			continue
		}
		if areFree(guardPort + 1) {
			return &Block{firstPort: guardPort + 1, guardListener: guardListener}, nil
		}
		_ = guardListener.Close()
	}
	return nil, ErrNoFreeBlock
}

// Port returns port i of the block, counted from 0.
func (b *Block) Port(i int) int { return b.firstPort + i }

// Address returns the loopback address of port i of the block, counted from 0.
func (b *Block) Address(i int) string { return loopbackAddress(b.firstPort + i) }

// Release releases the block.
func (b *Block) Release() { _ = b.guardListener.Close() }

// areFree reports whether all ports of a block are free, by listening on each of them. It holds syscall.ForkLock, since
// a child process that is forked in the meantime would inherit the listeners and keep them open until it executes its
// program; a connection to such a port would then be reset.
func areFree(firstOfBlock int) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for i := range BlockSize {
		ln, err := listen(firstOfBlock + i)
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

func listen(port int) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(context.Background(), "tcp", loopbackAddress(port))
}

func loopbackAddress(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
