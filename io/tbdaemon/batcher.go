package tbdaemon

import (
	"context"
	"sync"
	"time"
)

// batcher collects items and passes them on in batches.
type batcher[T any] struct {
	mu    sync.Mutex
	items []T
	// wake has an element if items have arrived since the last batch.
	wake chan struct{}
}

func newBatcher[T any]() *batcher[T] { return &batcher[T]{wake: make(chan struct{}, 1)} }

func (b *batcher[T]) add(item T) {
	b.mu.Lock()
	b.items = append(b.items, item)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *batcher[T]) takeAll() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = nil
	return items
}

// run passes batches to send until ctx is done. It waits for linger after the first item of a batch,
// so that later items can join it. If no item arrives for idle, it passes an empty batch.
func (b *batcher[T]) run(ctx context.Context, linger, idle time.Duration, send func([]T)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-b.wake:
			time.Sleep(linger)
		}
		send(b.takeAll())
		timer.Reset(idle)
	}
}
