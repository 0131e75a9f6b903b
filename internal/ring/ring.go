// Package ring joins goroutines by bounded queues that shed what they can't
// hold.
package ring

import "sync/atomic"

// Ring is a bounded first-in first-out queue between goroutines. It is safe
// for concurrent use. Make one with New.
type Ring[T any] struct {
	queue chan T
	shed  atomic.Int64
}

// New returns a ring that holds at most size values.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{queue: make(chan T, size)}
}

// Offer adds v and returns true, or counts it as shed and returns false if the
// ring is full. It never blocks.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.queue <- v:
		return true
	default:
		r.shed.Add(1)
		return false
	}
}

// Out returns the channel to receive from.
func (r *Ring[T]) Out() <-chan T { return r.queue }

// Shed returns how many values found the ring full.
func (r *Ring[T]) Shed() int64 { return r.shed.Load() }
