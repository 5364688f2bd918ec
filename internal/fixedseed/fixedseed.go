// Package fixedseed makes rapid property tests check the same cases in every run.
package fixedseed

import "flag"

// SetRapidFlags parses the test flags, then sets a fixed seed and the given number of checks for rapid and disables its
// fail files. Flags given on the command line take precedence. Call it from TestMain.
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
