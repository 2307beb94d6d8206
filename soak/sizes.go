package soak

import (
	"cmp"
	"time"
)

// With Config.Repeats a plain service takes littleRoom requests at once, and each takes slowWork, so that many are refused.
const (
	littleRoom = 1
	slowWork   = 15 * time.Millisecond
)

// room returns how many requests a plain service takes at once; 0 for any number.
func (c *Config) room() int {
	if c.Repeats {
		return cmp.Or(c.Room, littleRoom)
	}
	return c.Room
}

// work returns how long a plain service takes to serve a request.
func (c *Config) work() time.Duration {
	if c.Repeats {
		return cmp.Or(c.Work, slowWork)
	}
	if c.Stops {
		return cmp.Or(c.Work, stopWork)
	}
	return c.Work
}

// chunks returns the number of chunks of a stream.
func (c *Config) chunks() int { return cmp.Or(c.Chunks, chunkCount) }
