package gateway

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"cuminlift/core/dispatch"
	"cuminlift/schema"
)

// noteRun records what the end of an attempt, sent took ago, tells of whether its request crashes upstreams.
func (t *ticketClient) noteRun(result ticketResult, outcome schema.TicketOutcome, took time.Duration) {
	now := t.clock.Now()
	switch outcome {
	case schema.TicketOutcome_answered, schema.TicketOutcome_erred:
		t.suspects.Answered(result.identity, result.upstream, result.incarnation, now-took)
	case schema.TicketOutcome_crashed:
		t.suspects.Record(now, result.identity, dispatch.Crash{
			Upstream:    result.upstream,
			Incarnation: result.incarnation,
			Sent:        now - took,
			Ended:       now,
		})
		// The ticket may be of an earlier coordinator, so its end alone does not tell the current one.
		t.sendSuspicions(now, t.suspects.Of(result.identity))
	}
}

func (t *ticketClient) sendSuspicions(now time.Duration, list []dispatch.Suspicion) {
	if t.frameConn != nil && len(list) > 0 {
		t.frameConn.Send(suspicionsFrame(now, list))
	}
}

// announceSuspicions tells all instances what has changed.
func (c *coordinator) announceSuspicions(now time.Duration) {
	list := c.suspects.TakeAnnouncements()
	if len(list) == 0 {
		return
	}
	for _, suspicion := range list {
		crashes, until := suspicion.Quarantine()
		c.log.WithFields(logrus.Fields{
			"fingerprint": formatFingerprint(suspicion.Fingerprint),
			"crashes":     crashes,
			"rejected":    max(0, until-now),
		}).Info("request that crashes upstreams")
	}
	c.broadcast(suspicionsFrame(now, list))
}

func formatFingerprint(fingerprint uint64) string {
	return strconv.FormatUint(fingerprint, 16)
}

func suspicionsFrame(now time.Duration, list []dispatch.Suspicion) *schema.Frame {
	message := &schema.Suspicions{}
	for _, suspicion := range list {
		entry := &schema.Suspicion{
			Fingerprint: suspicion.Fingerprint,
		}
		for _, crash := range suspicion.Crashes {
			entry.Crashes = append(entry.Crashes, &schema.UpstreamCrash{
				Upstream:   crash.Upstream,
				Born:       crash.Incarnation,
				SentUsAgo:  uint64((now - crash.Sent).Microseconds()),
				EndedUsAgo: uint64((now - crash.Ended).Microseconds()),
			})
		}
		message.Suspicions = append(message.Suspicions, entry)
	}
	return &schema.Frame{
		Body: &schema.Frame_Suspicions{
			Suspicions: message,
		},
	}
}

func decodeSuspicions(now time.Duration, message *schema.Suspicions) []dispatch.Suspicion {
	var list []dispatch.Suspicion
	for _, entry := range message.GetSuspicions() {
		suspicion := dispatch.Suspicion{
			Fingerprint: entry.GetFingerprint(),
		}
		for _, crash := range entry.GetCrashes() {
			suspicion.Crashes = append(suspicion.Crashes, dispatch.Crash{
				Upstream:    crash.GetUpstream(),
				Incarnation: crash.GetBorn(),
				Sent:        now - time.Duration(crash.GetSentUsAgo())*time.Microsecond,
				Ended:       now - time.Duration(crash.GetEndedUsAgo())*time.Microsecond,
			})
		}
		list = append(list, suspicion)
	}
	return list
}
