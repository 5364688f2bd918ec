package gateway

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/replica"
	"cuminlift/core/roster"
	"cuminlift/schema"
)

// exclusion returns why this instance's tables exclude the upstream of a ticket, empty if it may be used. They decide unless they are
// older than those by which the ticket was granted. It is asked again for each attempt, just before that is sent.
func (t *ticketClient) exclusion(result ticketResult) roster.Exclusion {
	list := t.view().list
	if reason := list.ZoneExclusion(result.upstream); reason != "" && t.upToDate(t.config.Registry.ConfigurationTable(), result.tables) {
		return reason
	}
	reason := list.StartExclusion(result.upstream, result.incarnation)
	if reason == "" || !t.upToDate(t.config.Registry.UpstreamTable(), result.tables) {
		return ""
	}
	return reason
}

// upToDate reports whether this instance knows all changes of a table up to those given.
func (t *ticketClient) upToDate(table string, changes map[string]replica.Position) bool {
	for _, feed := range t.tables {
		if feed.table == table {
			return !feed.position().Before(changes[table])
		}
	}
	return true
}

// decodePositions returns the versions of tables, nil if there are none.
func decodePositions(tables []*schema.TableVersion) map[string]replica.Position {
	if len(tables) == 0 {
		return nil
	}
	positions := make(map[string]replica.Position, len(tables))
	for _, table := range tables {
		positions[table.GetTable()] = replica.Position{
			Era:     table.GetEra(),
			Version: table.GetVersion(),
		}
	}
	return positions
}

// lastChanges returns the versions of the latest changes that the coordinator knows of.
func (c *coordinator) lastChanges() []*schema.TableVersion {
	var versions []*schema.TableVersion
	for _, feed := range c.tables {
		change := feed.lastChange()
		versions = append(versions, &schema.TableVersion{
			Table:   feed.table,
			Version: change.Version,
			Era:     change.Era,
		})
	}
	return versions
}

// withheldKey identifies an instance and an upstream for which it gets no tickets.
type withheldKey struct {
	instance, upstream string
}

// withheldTickets is the state of a withheldKey.
type withheldTickets struct {
	service *serviceState
	link    *link
	// versions are those that the instance has told after it returned the ticket, nil until then.
	versions map[string]replica.Position
}

// withholdInterval is for how long tickets are withheld at a time. The coordinator extends it as long as the tables differ.
const withholdInterval = 500 * time.Millisecond

// withhold grants an instance no more tickets for an upstream that its tables exclude, until its tables and those of the coordinator
// agree.
func (c *coordinator) withhold(now time.Duration, l *link, s *serviceState, upstream string) {
	c.requestRowsFrom(now, l)
	s.pool.sync(now, c.view(), s.name)
	s.pool.Withhold(now, l.name, upstream, withholdInterval)
	key := withheldKey{
		instance: l.name,
		upstream: upstream,
	}
	if c.withheld[key] != nil {
		c.withheld[key].versions = nil
		return
	}
	c.withheld[key] = &withheldTickets{
		service: s,
		link:    l,
	}
	c.log.WithFields(logrus.Fields{
		"instance": l.name,
		"upstream": upstream,
	}).Info("ticket was returned, because the tables of the instance exclude the upstream")
}

// noteWithheld records the versions that an instance has told.
func (c *coordinator) noteWithheld(l *link) {
	for _, w := range c.withheld {
		if w.link == l && w.versions == nil {
			w.versions = maps.Clone(l.tableVersions)
		}
	}
}

// renewWithheld extends the time for which tickets are withheld, or ends it.
func (c *coordinator) renewWithheld(now time.Duration) {
	for key, w := range c.withheld {
		if w.link.current != nil && !c.agrees(w) {
			w.service.pool.Withhold(now, key.instance, key.upstream, withholdInterval)
			continue
		}
		w.service.pool.Readmit(key.instance, key.upstream)
		delete(c.withheld, key)
	}
}

// agrees reports whether the coordinator knows what the instance knew when it returned a ticket, and the instance what the coordinator
// knows.
func (c *coordinator) agrees(w *withheldTickets) bool {
	if w.versions == nil {
		return false
	}
	for _, feed := range c.tables {
		if feed.position().Before(w.versions[feed.table]) || w.link.tableVersions[feed.table].Before(feed.lastChange()) {
			return false
		}
	}
	return true
}
