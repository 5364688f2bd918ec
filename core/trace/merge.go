package trace

import (
	"fmt"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

// Merge joins traces that were recorded with one clock, by time, and numbers the lines anew. Lines of one trace keep
// their order.
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

// Query selects what Explain tells. Zero fields select everything.
type Query struct {
	Request string
	Service string
	// Hash is of a key; HasHash is true where it is asked for.
	Hash    uint64
	HasHash bool
	// From and To bound the time, on the trace's clock. A To of 0 is no bound.
	From, To time.Duration
}

// Explain returns what a trace holds of the queried request, key or time, a line each, oldest first.
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

func explainOutcome(o *schema.Outcome, q Query) string {
	if q.Request != "" && o.GetRequest() != q.Request {
		return ""
	}
	if q.HasHash && (o.GetKind() != "owns" || q.Hash < o.GetFrom() || q.Hash > o.GetTo()) {
		return ""
	}
	if q.Request == "" && !q.HasHash && o.GetRequest() != "" && o.GetKind() != "cut" && o.GetKind() != "refused-not-run" {
		// Requests that went well would hide the rest.
		return ""
	}
	return fmt.Sprintf("%s %s %s %s", o.GetKind(), o.GetSubject(), o.GetRequest(), o.GetDetail())
}

// explainInput tells inputs that change something: documents, lost answers and failed grants.
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
		return fmt.Sprintf("document %d gives the key to %s", document.GetVersion(), ownerIn(document, q.Hash))
	}
	return fmt.Sprintf("document %d: %s", document.GetVersion(), document.GetReason())
}

func ownerIn(document *schema.Ownership, hash uint64) string {
	owner := "nobody"
	for _, s := range document.GetSlices() {
		if s.GetStart() <= hash {
			owner = s.GetOwner()
		}
	}
	return owner
}
