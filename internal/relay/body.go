package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// replayLimit is the size up to which a request's body is kept, so that it can be sent again. Prompts take up to 17 KB.
const replayLimit = 64 << 10

// errBodyTooLarge is the error of a body above the limit of the configuration.
var errBodyTooLarge = errors.New("the request's body exceeds the limit")

// Body is the body of a caller's request. Up to replayLimit it is held and can be read several times.
type Body struct {
	held   []byte
	rest   io.Reader // what follows the held part; nil if it is whole
	length int64     // -1 if unknown
}

// readBody takes the body of a request. A body of unknown length is bounded while it is read.
func readBody(in *http.Request, limit int64) (Body, error) {
	if limit > 0 && in.ContentLength > limit {
		return Body{}, errBodyTooLarge
	}
	held, err := io.ReadAll(io.LimitReader(in.Body, replayLimit+1))
	if err != nil {
		return Body{}, err
	}
	if limit > 0 && int64(len(held)) > limit {
		return Body{}, errBodyTooLarge
	}
	if len(held) <= replayLimit {
		return Body{held: held, length: int64(len(held))}, nil
	}
	return Body{held: held, rest: in.Body, length: in.ContentLength}, nil
}

// Whole reports whether the body can be sent more than once.
func (b Body) Whole() bool { return b.rest == nil }

// Length returns the length in bytes, or -1 if it is unknown.
func (b Body) Length() int64 { return b.length }

// Reader returns a reader of the body. For a body that is not whole it may be used once. The reader is never
// http.NoBody, because net/http sends requests without a body again by itself after some failures.
func (b Body) Reader() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.held))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.held), b.rest))
}
