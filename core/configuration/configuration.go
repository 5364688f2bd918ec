// Package configuration applies an operator's change to the current configuration.
package configuration

import (
	"fmt"
	"sort"

	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

// VersionConflictError reports that the configuration has changed since the operator read it.
type VersionConflictError struct {
	Have, Want uint64
	// Author and Reason belong to the current version.
	Author string
	Reason string
}

func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("configuration is at version %d (by %s: %s), not %d: run \"cuminlift get\", merge, and apply again",
		e.Have, e.Author, e.Reason, e.Want)
}

// OutOfServiceError reports that a zone, instance or upstream can't be taken out of service or put back.
type OutOfServiceError struct {
	Kind, Name string
	Problem    string
	Remedy     string
}

func (e *OutOfServiceError) Error() string {
	return fmt.Sprintf("%s %s: %s: %s", e.Kind, e.Name, e.Problem, e.Remedy)
}

// Change is a change requested by an operator. Exactly one of Digest, Out and In is set.
type Change struct {
	// Base is the version that the operator read, or 0 to change any version.
	Base uint64
	// Author is the name in the operator's certificate.
	Author string
	Reason string
	AtMs   int64
	// Digest is the digest of the new text.
	Digest string
	Out    *schema.Out
	In     *schema.Out
}

// OutOfServiceKinds are the kinds that can be taken out of service.
var OutOfServiceKinds = []string{"zone", "instance", "upstream"}

// Apply returns the record that results from applying change to current, which may be nil.
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
		return next, addOut(next, change)
	case change.In != nil:
		return next, removeOut(next, change.In)
	}
	next.Digest = change.Digest
	return next, nil
}

func addOut(next *schema.Configuration, change Change) error {
	out := change.Out
	if !isValidKind(out.GetKind()) {
		return &OutOfServiceError{
			Kind:    out.GetKind(),
			Name:    out.GetName(),
			Problem: "unknown kind",
			Remedy:  "use zone, instance or upstream",
		}
	}
	if findOut(next, out) >= 0 {
		return &OutOfServiceError{
			Kind:    out.GetKind(),
			Name:    out.GetName(),
			Problem: "already out of service",
			Remedy:  "no action is needed; run \"cuminlift status\" to see since when",
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

func removeOut(next *schema.Configuration, in *schema.Out) error {
	i := findOut(next, in)
	if i < 0 {
		return &OutOfServiceError{
			Kind:    in.GetKind(),
			Name:    in.GetName(),
			Problem: "not out of service",
			Remedy:  "check the name in the output of \"cuminlift status\"",
		}
	}
	next.Out = append(next.Out[:i], next.Out[i+1:]...)
	return nil
}

func findOut(c *schema.Configuration, out *schema.Out) int {
	for i, o := range c.GetOut() {
		if o.GetKind() == out.GetKind() && o.GetName() == out.GetName() {
			return i
		}
	}
	return -1
}

func isValidKind(kind string) bool {
	for _, k := range OutOfServiceKinds {
		if k == kind {
			return true
		}
	}
	return false
}

// SameRecord reports whether a record read from the table is the one that was written. It resolves a write whose answer
// was lost.
func SameRecord(written, found *schema.Configuration) bool {
	return found.GetVersion() == written.GetVersion() && proto.Equal(written, found)
}
