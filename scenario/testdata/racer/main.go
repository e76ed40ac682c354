// Command racer has a data race and writes log lines to both outputs while the race detector reports it.
package main

import (
	"fmt"
	"os"
	"sync"
)

func main() {
	var wg sync.WaitGroup
	n := 0
	for range 2 {
		wg.Go(func() {
			for range 1000 {
				n++
				_, _ = fmt.Fprintln(os.Stdout, "msg=log")
				_, _ = fmt.Fprintln(os.Stderr, "msg=log")
			}
		})
	}
	wg.Wait()
}
