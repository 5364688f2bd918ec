package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift"
	"cuminlift/core/replica"
	"cuminlift/schema"
)

// followerLinks returns the links to connected instances other than the coordinator's own, in the order of their names.
func (c *coordinator) followerLinks() []*link {
	var links []*link
	for _, l := range c.links {
		if l.current != nil && l.name != c.config.Settings.Name {
			links = append(links, l)
		}
	}
	slices.SortFunc(links, func(a, b *link) int { return strings.Compare(a.name, b.name) })
	return links
}

// updateReaders chooses the instances that read the store while it fails for the coordinator. Tables are sent to the others.
func (c *coordinator) updateReaders(now time.Duration) {
	before := c.readers.Count()
	if c.storeFails() {
		c.chooseReaders(now)
	} else {
		c.readers.Reset()
	}
	for _, l := range c.links {
		reads := l.name != c.config.Settings.Name && c.readers.Reads(l.name)
		stops := l.readsStore && !reads
		l.readsStore = reads
		if stops {
			l.tablesSent = false
			c.sendTables(l)
		}
	}
	if count := c.readers.Count(); count != before {
		c.log.WithField("instances", count).Info("number of instances that read the store for the coordinator changed")
	}
}

func (c *coordinator) chooseReaders(now time.Duration) {
	var connected []replica.Reader
	for _, l := range c.followerLinks() {
		if !l.handsUpRows {
			c.readers.ChooseAll()
			return
		}
		connected = append(connected, replica.Reader{
			Name:    l.name,
			Reached: l.storeReached,
		})
	}
	c.readers.Choose(now, connected)
}

// requestRows asks an instance that is ahead for the rows that the coordinator lacks.
func (c *coordinator) requestRows(now time.Duration) {
	links := c.followerLinks()
	behindSince, behind := time.Duration(0), false
	for _, feed := range c.tables {
		var copies []replica.Copy
		for _, l := range links {
			if l.handsUpRows {
				copies = append(copies, replica.Copy{
					Name:     l.name,
					Position: l.tableVersions[feed.table],
				})
			}
		}
		catchUp := c.catchUps[feed.table]
		if name, ok := catchUp.Next(now, feed.position(), copies); ok {
			c.sendTableRequest(c.links[name], feed)
		}
		if since, lacks := catchUp.BehindSince(); lacks && (!behind || since < behindSince) {
			behindSince, behind = since, true
		}
	}
	c.leadership.TablesBehind(behindSince, behind && c.storeFails())
}

func (c *coordinator) sendTableRequest(l *link, feed *tableFeed) {
	known := feed.position()
	l.send(&schema.Frame{
		Body: &schema.Frame_TableRequest{
			TableRequest: &schema.TableRequest{
				Table: feed.table,
				Era:   known.Era,
				Since: known.Version,
			},
		},
	})
}

// requestRowsFrom asks an instance for newer rows before its next heartbeat reply tells of them.
func (c *coordinator) requestRowsFrom(now time.Duration, l *link) {
	if !l.handsUpRows || l.name == c.config.Settings.Name {
		return
	}
	for _, feed := range c.tables {
		if c.catchUps[feed.table].Ask(now, l.name) {
			c.sendTableRequest(l, feed)
		}
	}
}

// handleRows applies rows of an instance that is ahead, and forwards them to all.
func (c *coordinator) handleRows(l *link, rows *schema.TableRows) {
	for _, feed := range c.tables {
		if feed.table != rows.GetTable() {
			continue
		}
		before := feed.position()
		applied := rows.GetEra() >= c.store.currentEra()
		if applied {
			c.store.learnEra(rows.GetEra())
			applied = feed.applyPage(decodeRows(rows), rows.GetWhole(), rows.GetSince())
		}
		c.catchUps[feed.table].Answered(l.name, before.Before(feed.position()))
		if len(rows.GetRows()) > 0 {
			c.log.WithFields(logrus.Fields{
				"table":    feed.table,
				"instance": l.name,
				"version":  rows.GetVersion(),
				"era":      rows.GetEra(),
				"rows":     len(rows.GetRows()),
				"applied":  applied,
			}).Info("rows of an instance with newer tables")
		}
	}
	c.forwardPages()
}

// handleTableRequest sends the coordinator the rows that it lacks. Without a complete copy of the table there is no answer, and the
// coordinator asks another instance.
func (t *ticketClient) handleTableRequest(conn frameConn, request *schema.TableRequest) {
	for _, feed := range t.tables {
		if feed.table != request.GetTable() {
			continue
		}
		if frame, ok := feed.rowsSince(request.GetEra(), request.GetSince()); ok {
			conn.Send(frame)
		}
	}
}

// rowsSince returns the rows after version of an era. ok is false before the first read, and while the whole table must be read again.
func (t *tableFeed) rowsSince(era, version uint64) (frame *schema.Frame, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	page, whole, ok := t.known.Since(era, version)
	if !ok {
		return nil, false
	}
	return rowsFrame(t.table, page, whole, version), true
}

func decodeRows(rows *schema.TableRows) cuminlift.RowPage {
	page := cuminlift.RowPage{
		Version: rows.GetVersion(),
		Era:     rows.GetEra(),
	}
	for _, row := range rows.GetRows() {
		page.Rows = append(page.Rows, cuminlift.Row{
			Table:   rows.GetTable(),
			Key:     row.GetKey(),
			Value:   row.GetValue(),
			Version: row.GetVersion(),
			Removed: row.GetRemoved(),
		})
	}
	return page
}
