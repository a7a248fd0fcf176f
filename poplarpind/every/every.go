package every

import (
	"context"
	"time"
)

// Run calls do at each interval until the context ends; a call that takes longer delays the next one.
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
