package feed

// signal wakes those who wait for it. The zero value is ready to use. It is not safe for
// concurrent use.
type signal struct{ channel chan struct{} } // Nil if nobody waits.

// wait returns a channel that the next call of raise closes.
func (s *signal) wait() <-chan struct{} {
	if s.channel == nil {
		s.channel = make(chan struct{})
	}
	return s.channel
}

func (s *signal) raise() {
	if s.channel != nil {
		close(s.channel)
		s.channel = nil
	}
}
