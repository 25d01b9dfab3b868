package standin

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

const (
	usualBodyBytes = 600
	// earlyBytes is what a replica reads of a long body before it answers early.
	earlyBytes = 16 << 10
	// blockBytes is the length of the numbered blocks of which bodies consist.
	blockBytes = 8
)

// bodyText returns the bytes of a body between two offsets. Each block of it holds its own number.
func bodyText(from, to int64) string {
	var text strings.Builder
	for block := from / blockBytes; block*blockBytes < to; block++ {
		fmt.Fprintf(&text, "%07d\n", block)
	}
	begin := from / blockBytes * blockBytes
	return text.String()[from-begin : to-begin]
}

// pacedBody sends the first bytes at once and the others at a pace.
type pacedBody struct {
	sent, atOnce, length int64
	step                 int64
	pause                time.Duration
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.sent >= b.length {
		return 0, io.EOF
	}
	until := b.atOnce
	if b.sent >= b.atOnce {
		time.Sleep(b.pause)
		until = b.sent + b.step
	}
	until = min(until, b.length, b.sent+int64(len(p)))
	n := copy(p, bodyText(b.sent, until))
	b.sent += int64(n)
	return n, nil
}

// bodyCheck compares the bytes that a replica gets with those that the client sent.
type bodyCheck struct {
	record *record
	id     string

	mu       sync.Mutex
	received int64
	// other describes the first bytes that are not those due; empty for none.
	other string
}

func newBodyCheck(r *record, id string) *bodyCheck { return &bodyCheck{record: r, id: id} }

// Write implements io.Writer.
func (c *bodyCheck) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := bodyText(c.received, c.received+int64(len(p)))
	if c.other == "" && due != string(p) {
		at := 0
		for due[at] == p[at] {
			at++
		}
		end := min(at+2*blockBytes, len(p))
		c.other = fmt.Sprintf("from byte %d on it got %q where %q was due", c.received+int64(at), p[at:end], due[at:end])
		c.record.add("the body of %s: %s", c.id, c.other)
	}
	c.received += int64(len(p))
	return len(p), nil
}

// rest returns a function that reads the rest of a body of a length from a connection, and then until the connection is closed.
func (c *bodyCheck) rest(from *bufio.ReadWriter, length int64) func() error {
	return func() error {
		n, err := io.CopyN(c, from.Reader, length-c.count())
		if n > 0 || err != nil {
			c.record.add("the body of %s: %d of %d bytes were received (%v)", c.id, c.count(), length, err)
		}
		if err != nil {
			return err
		}
		_, err = from.ReadByte()
		return err
	}
}

func (c *bodyCheck) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// otherBytes returns which bytes were not those due; empty for none.
func (c *bodyCheck) otherBytes() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.other
}

func (f *engines) addBody(id string, body *bodyCheck) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bodies[id] = body
}
