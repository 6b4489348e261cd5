// Package fpring provides the bounded queue that joins goroutines.
package fpring

import "context"

// Ring is a bounded first-in, first-out queue between goroutines. Use New to create one.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds at most size items; size is at least 1.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{
		items: make(chan T, max(size, 1)),
	}
}

// Offer adds an item and reports whether there was room for it. It never blocks.
func (rng *Ring[T]) Offer(item T) bool {
	select {
	case rng.items <- item:
		return true
	default:
		return false
	}
}

// Put adds an item, waiting for room until ctx ends.
func (rng *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case rng.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel from which the one reader receives.
func (rng *Ring[T]) Items() <-chan T { return rng.items }

// Drain receives items that wait already, at most limit of them, and appends them to batch. It never blocks.
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

// Len returns the number of items that wait.
func (rng *Ring[T]) Len() int { return len(rng.items) }
