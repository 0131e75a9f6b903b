package quorum

// memoryLog holds the entries after the newest snapshot.
type memoryLog struct {
	baseIndex Index // The last index that the snapshot covers.
	baseTerm  Term
	entries   []Entry
}

func (l *memoryLog) last() Index {
	return l.baseIndex + Index(len(l.entries))
}

func (l *memoryLog) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at i and whether the log knows it.
func (l *memoryLog) term(i Index) (Term, bool) {
	if i == l.baseIndex {
		return l.baseTerm, true
	}
	if i < l.baseIndex || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.baseIndex-1].Term, true
}

// slice returns a copy of at most count entries from index from on.
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

// truncate drops the entry at from and all later ones.
func (l *memoryLog) truncate(from Index) {
	if from <= l.baseIndex || from > l.last() {
		return
	}
	l.entries = l.entries[:from-l.baseIndex-1]
}

// compact drops entries up to and including i, whose term must be known.
func (l *memoryLog) compact(i Index) {
	t, ok := l.term(i)
	if !ok || i <= l.baseIndex {
		return
	}
	l.entries = append([]Entry(nil), l.entries[i-l.baseIndex:]...)
	l.baseIndex = i
	l.baseTerm = t
}

// reset replaces the whole log by a snapshot's position.
func (l *memoryLog) reset(i Index, t Term) {
	l.baseIndex = i
	l.baseTerm = t
	l.entries = nil
}
