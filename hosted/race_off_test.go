//go:build !race

package hosted

// raceDetector reports that the tests run with the race detector.
const raceDetector = false
