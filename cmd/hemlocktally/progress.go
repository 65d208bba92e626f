package main

import (
	"context"
	"time"

	"github.com/vbauerster/mpb/v8"
)

// advance moves the bar on by one each step and completes it when the context
// ends.
func advance(ctx context.Context, progress *mpb.Progress, bar *mpb.Bar, step time.Duration) {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			bar.SetTotal(-1, true)
			progress.Wait()
			return
		case <-ticker.C:
			bar.Increment()
		}
	}
}
