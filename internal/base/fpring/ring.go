// Package fpring provides a bounded queue between goroutines.
package fpring

import "context"

// Ring is a bounded first-in, first-out queue between any number of writers and readers. Use New to create one. It is safe for
// concurrent use.
type Ring[T any] struct {
	items chan T
}

// New returns an empty ring for at most size items. A size below 1 counts as 1.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{
		items: make(chan T, max(size, 1)),
	}
}

// Offer adds an item unless the ring is full, and reports whether it did. It never blocks.
func (rng *Ring[T]) Offer(item T) bool {
	select {
	case rng.items <- item:
		return true
	default:
		return false
	}
}

// Put adds an item. It waits while the ring is full, and returns ctx.Err() if ctx ends first.
func (rng *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case rng.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel from which readers receive. It is never closed.
func (rng *Ring[T]) Items() <-chan T { return rng.items }

// Drain removes at most limit items, appends them to batch and returns the result. It never blocks.
func (rng *Ring[T]) Drain(batch []T, limit int) []T {
	for range limit {
		select {
		case item := <-rng.items:
			batch = append(batch, item)
		default:
			return batch
		}
	}
	return batch
}

// Len returns the number of items in the ring.
func (rng *Ring[T]) Len() int { return len(rng.items) }
