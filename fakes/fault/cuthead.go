package fault

import (
	"bytes"
	"math/rand/v2"
	"sync/atomic"
)

// SetHeadCuts makes draw decide for each answer after how many bytes its connection is closed, at the latest at the last byte
// of the head; a negative number lets the answer pass. Nil ends that.
func (l *Listener) SetHeadCuts(draw func() int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.headCuts = draw
}

// cutEvery is the number of answers of which CutSomeHeads cuts one.
const cutEvery = 4

// CutSomeHeads returns a function for SetHeadCuts that cuts some heads at any byte.
func CutSomeHeads() func() int {
	var answers atomic.Int64
	return func() int {
		if answers.Add(1)%cutEvery != 0 {
			return -1
		}
		return rand.IntN(1 << 10)
	}
}

var headEnd = []byte("\r\n\r\n")

// cutHead writes the beginning of an answer's head and closes the connection, if the head is to be cut.
func (c *conn) cutHead(b []byte) (cut bool) {
	c.owner.mu.Lock()
	draw := c.owner.headCuts
	c.owner.mu.Unlock()
	if draw == nil || !c.begins() {
		return false
	}
	n := draw()
	if n < 0 {
		return false
	}
	if end := bytes.Index(b, headEnd); end >= 0 {
		n = min(n, end+len(headEnd)-1)
	}
	// An error closes the connection earlier.
	_, _ = c.Conn.Write(b[:min(n, len(b)-1)])
	c.Close()
	return true
}
