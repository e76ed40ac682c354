// Package sleep provides a sleep that ends early if its context ends.
package sleep

import (
	"context"
	"time"
)

// For sleeps for d or until ctx ends, whichever is first. It returns at once if d is not positive.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
