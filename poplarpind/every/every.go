package every

import (
	"context"
	"time"
)

// Run calls a function each time an interval has passed, until the context ends.
func Run(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
