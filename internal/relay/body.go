package relay

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
)

// replayLimit is the size up to which a request body is buffered for retries. Prompts take up to 17 KB.
const replayLimit = 64 << 10

// errBodyTooLarge is returned for a body above the configured limit.
var errBodyTooLarge = errors.New("the request body exceeds the limit")

// errBodySent is returned for a body that cannot be sent again.
var errBodySent = errors.New("the request body was sent and is not kept")

// Body is the body of a caller's request. A body of up to replayLimit bytes is buffered and can be read several times.
type Body struct {
	buffered []byte
	rest     *bodyRest // the part after buffered; nil if the whole body is buffered
	length   int64     // -1 if unknown
}

// bodyRest is the part of a body that is not buffered. It can be read once.
type bodyRest struct {
	limitedBody
	begun atomic.Bool
}

// singleReader reads a body that can be read only once, unless another reader has begun.
type singleReader struct {
	io.Reader
	rest *bodyRest
	own  bool
}

// Read implements io.Reader.
func (r *singleReader) Read(p []byte) (int, error) {
	if !r.own && !r.rest.begun.CompareAndSwap(false, true) {
		return 0, errBodySent
	}
	r.own = true
	return r.Reader.Read(p)
}

// limitedBody is the part of a body that is not buffered. Reading beyond the limit fails.
type limitedBody struct {
	io.Reader
	left  int64
	onEnd func() // called when the body has been read
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, errBodyTooLarge
	}
	if errors.Is(err, io.EOF) {
		b.onEnd()
	}
	return n, err
}

// readBody buffers the start of the body of a request, and calls onEnd when the whole body has been read, now or later. The limit of a
// body of unknown length may show only while it is sent on; 0 is for none.
func readBody(in *http.Request, limit int64, onEnd func()) (Body, error) {
	if limit > 0 && in.ContentLength > limit {
		return Body{}, errBodyTooLarge
	}
	buffered, err := io.ReadAll(io.LimitReader(in.Body, replayLimit+1))
	if err != nil {
		return Body{}, err
	}
	if limit > 0 && int64(len(buffered)) > limit {
		return Body{}, errBodyTooLarge
	}
	if len(buffered) <= replayLimit {
		onEnd()
		return Body{buffered: buffered, length: int64(len(buffered))}, nil
	}
	if limit <= 0 {
		limit = math.MaxInt64
	}
	rest := &bodyRest{limitedBody: limitedBody{Reader: in.Body, left: limit - int64(len(buffered)), onEnd: onEnd}}
	return Body{buffered: buffered, rest: rest, length: in.ContentLength}, nil
}

// Replayable reports whether the body can be sent more than once.
func (b Body) Replayable() bool { return b.rest == nil }

// Sent reports whether a part of a body that is not replayable was sent, so that it cannot be sent whole any more.
func (b Body) Sent() bool { return b.rest != nil && b.rest.begun.Load() }

// Length returns the length in bytes, or -1 if it is unknown.
func (b Body) Length() int64 { return b.length }

// Reader returns a reader of the body. Of a body that is not replayable only the reader that is read first gets anything; others
// return an error. The reader is never http.NoBody, because net/http retries requests without a body by itself after some failures.
func (b Body) Reader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return io.NopCloser(&singleReader{Reader: io.MultiReader(bytes.NewReader(b.buffered), b.rest), rest: b.rest})
}

// bodyDeadline is the time by which a request body has to be there. Once the body has been read it is removed for good, because net/http
// watches the connection from then on, and a deadline that passes would look like a caller who left. It is safe for concurrent use.
type bodyDeadline struct {
	controller *http.ResponseController
	log        logrus.FieldLogger
	mu         sync.Mutex
	at         time.Time // zero for none
	removed    bool
}

// set sets the deadline.
func (d *bodyDeadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.removed {
		d.apply(at)
	}
}

// passed reports whether the body did not come in time.
func (d *bodyDeadline) passed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.at.IsZero() && !time.Now().Before(d.at)
}

// expire ends the reading of the body.
func (d *bodyDeadline) expire() { d.set(time.Now()) }

// remove removes the deadline.
func (d *bodyDeadline) remove() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removed = true
	d.apply(time.Time{})
}

func (d *bodyDeadline) apply(at time.Time) {
	d.at = at
	if err := d.controller.SetReadDeadline(at); err != nil {
		d.log.WithError(err).WithField(logs.Event, "bodyUntimed").Warn("the caller's connection takes no deadline")
	}
}
