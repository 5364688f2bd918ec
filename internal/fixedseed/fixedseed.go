// Package fixedseed makes property tests check the same cases in each run.
package fixedseed

import "flag"

// SetRapidFlags parses the flags of a test and gives rapid's their fixed values, unless the command line does.
func SetRapidFlags(checks string) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed":       "20261204",
		"rapid.checks":     checks,
		"rapid.nofailfile": "true",
	} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if !given {
			_ = flag.Set(name, value)
		}
	}
}
