package replica

import "time"

// rowsTimeout is how long an instance has to answer a request for rows before another one is asked.
const rowsTimeout = 300 * time.Millisecond

// CatchUp decides which instance a coordinator asks for the rows of a table that it lacks. The zero value asks none. It is not safe for
// concurrent use.
type CatchUp struct {
	// waiting is true while an answer of the asked instance is awaited.
	waiting bool
	asked   string
	askedAt time.Duration
	// tried are the instances that did not help since the coordinator was last up to date.
	tried map[string]bool
	// goal is the newest known version at behindSince, which the coordinator has not reached yet.
	behind      bool
	goal        Position
	behindSince time.Duration
}

// Copy is the copy of a table at an instance.
type Copy struct {
	Name string
	Position
}

// Next returns the instance to ask at now, if any. own is the coordinator's position, and copies are those of the connected instances
// that can be asked.
func (c *CatchUp) Next(now time.Duration, own Position, copies []Copy) (name string, ok bool) {
	newest, best, asked := own, Copy{}, false
	for _, copied := range copies {
		if !own.Before(copied.Position) {
			continue
		}
		if newest.Before(copied.Position) {
			newest = copied.Position
		}
		asked = asked || copied.Name == c.asked
		if !c.tried[copied.Name] && (best.Name == "" || best.Before(copied.Position)) {
			best = copied
		}
	}
	if !own.Before(newest) {
		*c = CatchUp{}
		return "", false
	}
	if !c.behind || !own.Before(c.goal) {
		c.behind, c.goal, c.behindSince = true, newest, now
	}
	if c.waiting && asked && now-c.askedAt < rowsTimeout {
		return "", false
	}
	if c.waiting {
		c.waiting = false
		c.fail(c.asked)
		if best.Name == c.asked {
			return c.Next(now, own, copies)
		}
	}
	if best.Name == "" {
		if now-c.askedAt >= rowsTimeout {
			c.tried = nil // None has helped, and they are asked again.
		}
		return "", false
	}
	c.waiting, c.asked, c.askedAt = true, best.Name, now
	return best.Name, true
}

// Ask reports whether an instance may be asked at now, because it is known by other means to be ahead.
func (c *CatchUp) Ask(now time.Duration, name string) bool {
	if c.waiting && now-c.askedAt < rowsTimeout {
		return false
	}
	c.waiting, c.asked, c.askedAt = true, name, now
	return true
}

// Answered records the answer of an instance. news is false if its rows were of no use.
func (c *CatchUp) Answered(name string, news bool) {
	if !c.waiting || c.asked != name {
		return
	}
	c.waiting = false
	if !news {
		c.fail(name)
	}
}

func (c *CatchUp) fail(name string) {
	if c.tried == nil {
		c.tried = map[string]bool{}
	}
	c.tried[name] = true
}

// BehindSince returns since when the coordinator lacks rows that an instance had at that time. behind is false if it lacks none.
func (c *CatchUp) BehindSince() (since time.Duration, behind bool) {
	return c.behindSince, c.behind
}
