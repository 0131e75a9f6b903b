// Package queue joins goroutines by bounded queues that shed what they can't
// hold.
package queue

import "sync/atomic"

// Queue is a bounded first-in first-out queue between goroutines. It is safe
// for concurrent use. Make one with New.
type Queue[T any] struct {
	queue chan T
	shed  atomic.Int64
}

// New returns a queue that holds at most size values.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{queue: make(chan T, size)}
}

// Offer adds v and returns true, or counts it as shed and returns false if the
// queue is full. It never blocks.
func (r *Queue[T]) Offer(v T) bool {
	select {
	case r.queue <- v:
		return true
	default:
		r.shed.Add(1)
		return false
	}
}

// Out returns the channel to receive from.
func (r *Queue[T]) Out() <-chan T { return r.queue }

// Shed returns how many values found the queue full.
func (r *Queue[T]) Shed() int64 { return r.shed.Load() }
