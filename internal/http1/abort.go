package http1

import (
	"net"
	"net/http"
)

// Aborted describes a response that its handler has not completed.
type Aborted struct {
	// Begun means that the head of the response has been written, so that the connection
	// ends with it. Otherwise ServerConfig.Replacement responds in its place.
	Begun bool
	// Earlier and Later are the numbers of requests on the same connection, before and
	// behind that of the response, that have been started and have no complete response
	// either.
	Earlier, Later int
}

// Reset discards what a handler of a Server has set and written of its response, so that it
// can write another one. It returns false if a part of the response may have been sent, or if
// w is not the http.ResponseWriter of a Server: the handler can only abort the response then.
func Reset(w http.ResponseWriter) bool {
	r, ok := w.(*response)
	return ok && r.reset()
}

// reset discards the response. It returns false if its head has been written.
func (w *response) reset() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.headWritten {
		return false
	}
	w.releaseHeld()
	w.header, w.status, w.flushing = http.Header{}, 0, false
	return true
}

// isIncomplete reports whether less of the body was written than the handler has declared.
func (w *response) isIncomplete() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.hasNoBody() {
		return false
	}
	if w.headWritten {
		return w.remaining > 0
	}
	return w.declaredLength() > int64(w.held.size)
}

// aborted describes the response as one that its handler has not completed.
func (w *response) aborted() Aborted {
	w.mutex.Lock()
	begun := w.headWritten
	w.mutex.Unlock()
	w.conn.mutex.Lock()
	defer w.conn.mutex.Unlock()
	a := Aborted{Begun: begun, Later: max(0, w.conn.pipeline.started-w.index-1)}
	if !w.hasTurn() { // A request whose response is complete is still pending for a moment.
		a.Earlier = w.index - (w.conn.accepted - w.conn.pending)
	}
	return a
}

// abort ends the connection of a response that cannot be completed, so that the response
// does not look complete. A body that ends with the connection would, unless the connection
// is reset. A reset could also destroy earlier responses that are still being transmitted, so
// other connections are closed like those after a complete response.
func (w *response) abort() {
	defer close(w.done)
	w.conn.fail()
	tcp, ok := w.conn.conn.(*net.TCPConn)
	if !ok || w.untilClose {
		if ok {
			// An error means that the connection has failed already.
			_ = tcp.SetLinger(0)
		}
		w.conn.conn.Close()
		return
	}
	w.conn.closeWrite()
}

// writeBadGateway is the default of ServerConfig.Replacement.
func writeBadGateway(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }
