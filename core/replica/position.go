package replica

// Position is a version of a table and the era of the store in which it was given out.
type Position struct {
	Era, Version uint64
}

// Before reports whether p is older than other. Versions are comparable only within an era, and a later era is newer.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Version < other.Version
}
