// Package pause waits without outliving a context.
package pause

import (
	"context"
	"time"
)

// For waits for d or the end of ctx, whichever comes first; it doesn't wait for a d of 0 or less.
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
