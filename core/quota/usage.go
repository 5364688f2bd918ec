package quota

import "time"

const (
	// Span is the length of the spans in which requests are counted. The newest is incomplete, so that a Window takes one more.
	Span  = 250 * time.Millisecond
	spans = int(Window/Span) + 1
)

// counts holds the number of requests in each span of the last Window.
type counts struct {
	newest int64
	sent   [spans]uint32
}

// advance makes the span of now the newest.
func (c *counts) advance(now time.Duration) {
	index := int64(now / Span)
	for ; c.newest < index && index-c.newest <= int64(spans); c.newest++ {
		c.sent[(c.newest+1)%int64(spans)] = 0
	}
	if c.newest < index {
		c.sent = [spans]uint32{}
		c.newest = index
	}
}

// add counts n requests that were sent a number of spans before the newest.
func (c *counts) add(age int, n uint32) {
	if age < spans && int64(age) <= c.newest {
		c.sent[(c.newest-int64(age))%int64(spans)] += n
	}
}

// list returns the counts, newest first, without the zeros at the end.
func (c *counts) list() []uint32 {
	var list []uint32
	for age := range min(spans, int(c.newest)+1) {
		list = append(list, c.sent[(c.newest-int64(age))%int64(spans)])
	}
	for len(list) > 0 && list[len(list)-1] == 0 {
		list = list[:len(list)-1]
	}
	return list
}

// total returns the number of requests in the last Window.
func (c *counts) total(now time.Duration) int {
	c.advance(now)
	total := 0
	for _, n := range c.list() {
		total += int(n)
	}
	return total
}

// Usage counts what an instance has sent for each workspace in the last Window. The zero value is ready for use.
type Usage struct {
	workspaces map[string]*counts
	sweptAt    time.Duration
}

// Sent counts a request.
func (u *Usage) Sent(now time.Duration, workspace string) {
	if u.workspaces == nil {
		u.workspaces = map[string]*counts{}
	}
	if now-u.sweptAt > Window {
		u.List(now) // Forgets workspaces without requests.
	}
	c := u.workspaces[workspace]
	if c == nil {
		c = &counts{}
		u.workspaces[workspace] = c
	}
	c.advance(now)
	c.add(0, 1)
}

// List returns the number of requests in each span by workspace, newest first.
func (u *Usage) List(now time.Duration) map[string][]uint32 {
	u.sweptAt = now
	list := map[string][]uint32{}
	for workspace, c := range u.workspaces {
		c.advance(now)
		if sent := c.list(); len(sent) > 0 {
			list[workspace] = sent
		} else {
			delete(u.workspaces, workspace)
		}
	}
	return list
}
