//go:build race

package hosted

// raceDetector reports that the tests run with the race detector, several times slower.
const raceDetector = true
