// Package queue provides bounded queues between goroutines that drop values when they
// are full, so that a producer never blocks.
package queue

import "sync/atomic"

// Queue is a bounded first-in first-out queue. It is safe for concurrent use. Create
// one with New.
type Queue[T any] struct {
	values  chan T
	dropped atomic.Int64 // Number of dropped values.
}

// New returns a queue that holds at most size values.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{values: make(chan T, size)}
}

// Offer adds v and returns true. If the queue is full, it drops v, counts that and
// returns false. It never blocks.
func (q *Queue[T]) Offer(v T) bool {
	select {
	case q.values <- v:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// Out returns the channel to receive values from. It is never closed.
func (q *Queue[T]) Out() <-chan T { return q.values }

// Dropped returns how many values were dropped because the queue was full.
func (q *Queue[T]) Dropped() int64 { return q.dropped.Load() }
