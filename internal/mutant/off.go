//go:build !mutant

// Package mutant plants known faults in programs that are built with the tag "mutant", so that checks can be shown to find them.
package mutant

// Is reports whether a fault is planted: never in this build.
func Is(Name) bool { return false }
