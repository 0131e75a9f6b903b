package quorum

// memoryLog holds the entries after the newest snapshot. The zero value is an
// empty log without a snapshot.
type memoryLog struct {
	baseIndex Index   // The last index that the snapshot covers.
	baseTerm  Term    // The term of the entry at baseIndex.
	entries   []Entry // The entry at index i is entries[i-baseIndex-1].
}

// last returns the index of the last entry, or baseIndex if there is none.
func (l *memoryLog) last() Index {
	return l.baseIndex + Index(len(l.entries))
}

// lastTerm returns the term of the entry at last.
func (l *memoryLog) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at i, and false if i is covered by the
// snapshot or after the last entry. The term at baseIndex is known.
func (l *memoryLog) term(i Index) (Term, bool) {
	if i == l.baseIndex {
		return l.baseTerm, true
	}
	if i < l.baseIndex || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.baseIndex-1].Term, true
}

// slice returns a copy of at most count entries, the first at index from. It
// returns nil if from is not in the log.
func (l *memoryLog) slice(from Index, count int) []Entry {
	if from <= l.baseIndex || from > l.last() {
		return nil
	}
	rest := l.entries[from-l.baseIndex-1:]
	if len(rest) > count {
		rest = rest[:count]
	}
	return append([]Entry(nil), rest...)
}

// truncate removes the entry at index from and all later ones. It does nothing
// if from is not in the log.
func (l *memoryLog) truncate(from Index) {
	if from <= l.baseIndex || from > l.last() {
		return
	}
	l.entries = l.entries[:from-l.baseIndex-1]
}

// compact removes the entries up to and including index i. It does nothing if i
// is not in the log.
func (l *memoryLog) compact(i Index) {
	t, ok := l.term(i)
	if !ok || i <= l.baseIndex {
		return
	}
	l.entries = append([]Entry(nil), l.entries[i-l.baseIndex:]...)
	l.baseIndex = i
	l.baseTerm = t
}

// reset removes all entries and sets the base to a snapshot that ends at index
// i with term t.
func (l *memoryLog) reset(i Index, t Term) {
	l.baseIndex = i
	l.baseTerm = t
	l.entries = nil
}
