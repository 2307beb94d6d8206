//go:build !race

package bubble

const raceDetector = false
