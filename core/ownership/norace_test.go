//go:build !race

package ownership_test

const raceEnabled = false
