//go:build mutant

// Package mutant plants known faults in programs that are built with the tag "mutant", so that checks can be shown to find them.
package mutant

import "os"

// Is reports whether a fault is planted.
func Is(name Name) bool { return os.Getenv(Variable) == string(name) }
