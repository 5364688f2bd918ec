//go:build race

package ownership_test

// raceEnabled is true under the race detector, which makes the model checker many times slower.
const raceEnabled = true
