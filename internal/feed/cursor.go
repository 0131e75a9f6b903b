package feed

// Cursor is a position in a hub's own order of changes. The zero value is the
// position before all changes.
type Cursor struct {
	records uint64 // Index in the directory.
	reports uint64 // Index in the call statistics.
}

// ForgetReports moves the cursor before all call statistics.
func (c *Cursor) ForgetReports() { c.reports = 0 }
