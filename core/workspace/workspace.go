// Package workspace identifies callers by their API keys. A Directory holds the workspaces of one configuration and is immutable.
package workspace

import (
	"crypto/sha256"
	"fmt"
	"math"
	"strings"
)

// Workspace is a customer's account, to which quota and priority apply.
type Workspace struct {
	Name string
	// Priority takes precedence over the priority of routes if Prioritized is true.
	Priority    int
	Prioritized bool
	// Rate and Burst are the quota in requests per second and in requests. A Rate of 0 means no limit.
	Rate, Burst float64
}

// Entry is a workspace with its API keys, as configured.
type Entry struct {
	Workspace
	Keys []string
}

// EntryError reports a malformed entry. It contains no key.
type EntryError struct {
	// Index is the zero-based position of the entry.
	Index   int
	Name    string
	Problem string
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("workspace %d (%q): %s: correct the configuration and write it again", e.Index, e.Name, e.Problem)
}

// digest stands for a key, so that the time of a lookup says nothing about the keys that exist.
type digest [sha256.Size]byte

// Directory finds workspaces by API key and by name.
type Directory struct {
	byKey  map[digest]*Workspace
	byName map[string]*Workspace
}

// NewDirectory validates the entries. It returns a *EntryError if one is malformed.
func NewDirectory(entries []Entry) (*Directory, error) {
	d := &Directory{
		byKey:  map[digest]*Workspace{},
		byName: make(map[string]*Workspace, len(entries)),
	}
	for i, entry := range entries {
		if problem := d.add(entry); problem != "" {
			return nil, &EntryError{
				Index:   i,
				Name:    entry.Name,
				Problem: problem,
			}
		}
	}
	return d, nil
}

// add returns the problem of a malformed entry, empty for none.
func (d *Directory) add(entry Entry) (problem string) {
	switch {
	case entry.Name == "":
		return "it has no name"
	case strings.TrimSpace(entry.Name) != entry.Name || strings.ContainsFunc(entry.Name, isControl):
		return "its name can't be sent in a header"
	case d.byName[entry.Name] != nil:
		return "another workspace has this name"
	case !validQuota(entry.Rate) || !validQuota(entry.Burst):
		return "its rate or burst is not a positive number or 0"
	}
	w := &entry.Workspace
	d.byName[w.Name] = w
	for _, key := range entry.Keys {
		if key == "" {
			return "it has an empty key"
		}
		id := digestOf(key)
		if other := d.byKey[id]; other != nil && other != w {
			return fmt.Sprintf("workspace %q has one of its keys", other.Name)
		}
		d.byKey[id] = w
	}
	return ""
}

func isControl(r rune) bool {
	return r < ' ' || r == 0x7f
}

func validQuota(value float64) bool {
	return value >= 0 && !math.IsInf(value, 0)
}

// maxStackKey is the length up to which a key is copied to the stack.
const maxStackKey = 256

func digestOf(key string) digest {
	var buffer [maxStackKey]byte
	if len(key) > len(buffer) {
		return sha256.Sum256([]byte(key))
	}
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}

// Find returns the workspace that a key belongs to, or nil if the key is unknown.
func (d *Directory) Find(key string) *Workspace {
	if key == "" {
		return nil
	}
	return d.byKey[digestOf(key)]
}

// Quota returns the quota of a workspace. limited is false if it has none or is unknown. A nil Directory has no workspaces.
func (d *Directory) Quota(name string) (rate, burst float64, limited bool) {
	if d == nil {
		return 0, 0, false
	}
	w := d.byName[name]
	if w == nil || w.Rate == 0 {
		return 0, 0, false
	}
	return w.Rate, w.Burst, true
}

// Len returns the number of workspaces.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}
