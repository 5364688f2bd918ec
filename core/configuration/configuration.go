// Package configuration decides what an operator's change makes of the configuration in force.
package configuration

import (
	"fmt"
	"sort"

	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

// VersionConflictError reports that the configuration changed since it was read.
type VersionConflictError struct {
	Have, Want uint64
	// Author and Reason are of the version in force.
	Author string
	Reason string
}

func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("configuration is at version %d (by %s: %s), not %d: run \"cuminlift get\", merge, and apply again",
		e.Have, e.Author, e.Reason, e.Want)
}

// OutOfServiceError reports a change of what is out of service that can't be made.
type OutOfServiceError struct {
	Kind, Name string
	Problem    string
	Remedy     string
}

func (e *OutOfServiceError) Error() string {
	return fmt.Sprintf("%s %s: %s: %s", e.Kind, e.Name, e.Problem, e.Remedy)
}

// Change is what an operator asks for. Exactly one of Digest, Out and In is set.
type Change struct {
	// Base is the version that the operator read, or 0 for whichever is in force.
	Base uint64
	// Author comes from the operator's certificate.
	Author string
	Reason string
	AtMs   int64
	// Digest is of the new text.
	Digest string
	Out    *schema.Out
	In     *schema.Out
}

// OutOfServiceKinds are what can be taken out of service.
var OutOfServiceKinds = []string{"zone", "instance", "upstream"}

// Apply returns the record that change makes of current, which may be nil.
func Apply(current *schema.Configuration, change Change) (*schema.Configuration, error) {
	if change.Base != 0 && change.Base != current.GetVersion() {
		return nil, &VersionConflictError{
			Have:   current.GetVersion(),
			Want:   change.Base,
			Author: current.GetAuthor(),
			Reason: current.GetReason(),
		}
	}
	next := &schema.Configuration{}
	if current != nil {
		next = proto.Clone(current).(*schema.Configuration)
	}
	next.Version++
	next.Author = change.Author
	next.Reason = change.Reason
	next.AtMs = change.AtMs
	switch {
	case change.Out != nil:
		return next, takeOut(next, change)
	case change.In != nil:
		return next, takeIn(next, change.In)
	}
	next.Digest = change.Digest
	return next, nil
}

func takeOut(next *schema.Configuration, change Change) error {
	out := change.Out
	if !knownKind(out.GetKind()) {
		return &OutOfServiceError{
			Kind:    out.GetKind(),
			Name:    out.GetName(),
			Problem: "nothing of this kind can be taken out",
			Remedy:  "use zone, instance or upstream",
		}
	}
	if indexOf(next, out) >= 0 {
		return &OutOfServiceError{
			Kind:    out.GetKind(),
			Name:    out.GetName(),
			Problem: "is already out of service",
			Remedy:  "nothing is left to do; \"cuminlift status\" shows since when",
		}
	}
	next.Out = append(next.Out, &schema.Out{
		Kind:   out.GetKind(),
		Name:   out.GetName(),
		Author: change.Author,
		AtMs:   change.AtMs,
	})
	sort.Slice(next.Out, func(i, j int) bool {
		a, b := next.Out[i], next.Out[j]
		return a.GetKind() < b.GetKind() || (a.GetKind() == b.GetKind() && a.GetName() < b.GetName())
	})
	return nil
}

func takeIn(next *schema.Configuration, in *schema.Out) error {
	i := indexOf(next, in)
	if i < 0 {
		return &OutOfServiceError{
			Kind:    in.GetKind(),
			Name:    in.GetName(),
			Problem: "is not out of service",
			Remedy:  "check the name with \"cuminlift status\"",
		}
	}
	next.Out = append(next.Out[:i], next.Out[i+1:]...)
	return nil
}

func indexOf(c *schema.Configuration, out *schema.Out) int {
	for i, o := range c.GetOut() {
		if o.GetKind() == out.GetKind() && o.GetName() == out.GetName() {
			return i
		}
	}
	return -1
}

func knownKind(kind string) bool {
	for _, k := range OutOfServiceKinds {
		if k == kind {
			return true
		}
	}
	return false
}

// SameRecord reports whether a record that was read back is the one that was written with its answer lost.
func SameRecord(written, found *schema.Configuration) bool {
	return found.GetVersion() == written.GetVersion() && proto.Equal(written, found)
}
