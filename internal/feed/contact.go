package feed

import "time"

// SetLastContact records that t was the time of the last contact with the
// source's leader. A time before the recorded one is ignored.
func (h *Hub) SetLastContact(t time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if t.After(h.lastContact) {
		h.lastContact = t
	}
}

// LastContact returns the time of the last contact with the source's leader.
func (h *Hub) LastContact() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.lastContact
}

// setConfirmedAt records that the configuration in force was the parent's newest one when
// the parent's last contact with the source's leader was at t. An earlier time than the
// recorded one is ignored.
func (h *Hub) setConfirmedAt(t time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if t.After(h.confirmedAt) {
		h.confirmedAt = t
	}
}

// ConfirmedAt returns a time at which the configuration in force was the newest one of the
// source's leader, as far as the daemon's parents tell. It is zero on source replicas.
func (h *Hub) ConfirmedAt() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.confirmedAt
}
