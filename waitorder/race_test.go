//go:build race

package waitorder

const raceDetector = true
