package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"
)

// With Config.Repeats a plain service takes littleRoom requests at once, and each takes slowWork, so that many are refused.
const (
	littleRoom = 1
	slowWork   = 15 * time.Millisecond
)

// With Config.Crowds plain services record this much of a body, and their large answers have this length.
const (
	crowdRecordBytes = 4 << 10
	crowdLargeAnswer = 2 << 20
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

// limits returns the section "limits" of the routers' settings.
func (c *Config) limits() json.RawMessage {
	if c.Crowds && c.Limits == "" {
		return json.RawMessage(fmt.Sprintf(`{"memory_mb": %d}`, machineMemory>>20))
	}
	return json.RawMessage(cmp.Or(c.Limits, "{}"))
}

// chunks returns the number of chunks of a stream.
func (c *Config) chunks() int { return cmp.Or(c.Chunks, chunkCount) }
