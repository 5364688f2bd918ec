package gateway

import (
	"github.com/sirupsen/logrus"

	"cuminlift/schema"
)

// noteLeaving takes an upstream out of use that has said in an answer that it leaves, whatever its entry says. It reports whether
// that is news.
func (f *follower) noteLeaving(id string, incarnation int64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.departures.Add(f.clock.Now(), id, incarnation) {
		return false
	}
	f.log.WithFields(logrus.Fields{
		"upstream": id,
		"born":     incarnation,
	}).Info("upstream says that it leaves")
	f.publish()
	return true
}

// leaving reports whether an upstream has said in an answer that it leaves.
func (f *follower) leaving(id string, incarnation int64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.departures.Has(id, incarnation)
}

// departureNotices returns a message for each upstream that has said that it leaves.
func (f *follower) departureNotices() []*schema.Frame {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var list []*schema.Frame
	f.departures.List(func(id string, incarnation int64) {
		list = append(list, departureFrame(id, incarnation))
	})
	return list
}
