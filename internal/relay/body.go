package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// replayLimit is the size up to which a request body is buffered for retries. Prompts take up to 17 KB.
const replayLimit = 64 << 10

// errBodyTooLarge is returned for a body above the configured limit.
var errBodyTooLarge = errors.New("the request body exceeds the limit")

// Body is the body of a caller's request. A body of up to replayLimit bytes is buffered and can be read several times.
type Body struct {
	buffered []byte
	rest     io.Reader // the part after buffered; nil if the whole body is buffered
	length   int64     // -1 if unknown
}

// readBody buffers the start of the body of a request. A body of unknown length is checked against the limit only up to
// replayLimit.
func readBody(in *http.Request, limit int64) (Body, error) {
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
		return Body{buffered: buffered, length: int64(len(buffered))}, nil
	}
	return Body{buffered: buffered, rest: in.Body, length: in.ContentLength}, nil
}

// Replayable reports whether the body can be sent more than once.
func (b Body) Replayable() bool { return b.rest == nil }

// Length returns the length in bytes, or -1 if it is unknown.
func (b Body) Length() int64 { return b.length }

// Reader returns a reader of the body. It may be called only once if the body is not replayable. The reader is never
// http.NoBody, because net/http retries requests without a body by itself after some failures.
func (b Body) Reader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.buffered), b.rest))
}
