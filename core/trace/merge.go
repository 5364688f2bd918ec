package trace

import (
	"fmt"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

// Merge merges traces that were recorded with the same clock, ordered by time, and renumbers the lines. Lines of one
// trace keep their order.
func Merge(traces ...[]*schema.TraceLine) []*schema.TraceLine {
	var merged []*schema.TraceLine
	for _, lines := range traces {
		for _, line := range lines {
			merged = append(merged, proto.Clone(line).(*schema.TraceLine))
		}
	}
	sort.SliceStable(merged, func(i, j int) bool { return merged[i].GetAtUs() < merged[j].GetAtUs() })
	for i, line := range merged {
		line.Sequence = uint64(i + 1)
	}
	return merged
}

// Query selects the lines that Explain describes. Zero fields select everything.
type Query struct {
	Request string
	// Service selects inputs only. Outcomes are not filtered by it.
	Service string
	// Hash is the hash of a key. It is used only if HasHash is true.
	Hash    uint64
	HasHash bool
	// From and To bound the time on the trace's clock. A To of 0 means no upper bound.
	From, To time.Duration
}

// Explain describes the events that match the query, one text per event, oldest first.
func Explain(lines []*schema.TraceLine, q Query) []string {
	var explanation []string
	for _, line := range lines {
		at := time.Duration(line.GetAtUs()) * time.Microsecond
		if at < q.From || (q.To != 0 && at > q.To) {
			continue
		}
		description := ""
		if line.GetOutcome() != nil {
			description = explainOutcome(line.GetOutcome(), q)
		}
		if line.GetInput() != nil && q.Request == "" && (q.Service == "" || q.Service == line.GetService()) {
			description = explainInput(line.GetInput(), q)
		}
		if description != "" {
			explanation = append(explanation, fmt.Sprintf("%v %s %s: %s", at, line.GetInstance(), line.GetService(), description))
		}
	}
	return explanation
}

// explainOutcome describes an outcome that matches the query, or returns an empty text.
func explainOutcome(o *schema.Outcome, q Query) string {
	if q.Request != "" && o.GetRequest() != q.Request {
		return ""
	}
	if q.HasHash && (o.GetKind() != "owns" || q.Hash < o.GetFrom() || q.Hash > o.GetTo()) {
		return ""
	}
	if q.Request == "" && !q.HasHash && o.GetRequest() != "" && o.GetKind() != "cut" && o.GetKind() != "refused-not-run" {
		// Of the requests, only those cut or refused before they ran are shown. The many others would hide all other events.
		return ""
	}
	return fmt.Sprintf("%s %s %s %s", o.GetKind(), o.GetSubject(), o.GetRequest(), o.GetDetail())
}

// explainInput describes an input that is relevant to ownership, such as a document, an unanswered read or a failed
// grant. It returns an empty text for others.
func explainInput(event *schema.OwnershipEvent, q Query) string {
	document := event.GetDocument()
	switch event.GetKind() {
	case schema.EventKind_read:
		if event.GetOutcome() == schema.WriteOutcome_unknown {
			return "the platform did not answer a read"
		}
	case schema.EventKind_wrote:
		return fmt.Sprintf("write over version %d: %s", event.GetSequence(), event.GetOutcome())
	case schema.EventKind_failed:
		return "no reply to a grant from " + event.GetUpstream()
	case schema.EventKind_heard:
		document = event.GetView().GetDocument()
	case schema.EventKind_stopping:
		return "graceful stop"
	case schema.EventKind_tick, schema.EventKind_replied, schema.EventKind_listed, schema.EventKind_idle:
	}
	if len(document.GetHolders()) == 0 {
		return ""
	}
	if q.HasHash {
		return fmt.Sprintf("document %d assigns the key to %s", document.GetVersion(), ownerIn(document, q.Hash))
	}
	return fmt.Sprintf("document %d: %s", document.GetVersion(), document.GetReason())
}

// ownerIn returns the owner of a key hash according to a document.
func ownerIn(document *schema.Ownership, hash uint64) string {
	owner := "nobody"
	for _, s := range document.GetSlices() {
		if s.GetStart() <= hash {
			owner = s.GetOwner()
		}
	}
	return owner
}
