package bound

import (
	"bufio"
	"io"
	"math"
	"net/http"
	"net/textproto"
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxHeadBytes bounds the head of a response, with those of the informational responses before it.
	MaxHeadBytes = 16 << 10

	dialTimeout = time.Second
)

var (
	// ErrHeadTooLarge is returned for a head of more than MaxHeadBytes.
	ErrHeadTooLarge = errors.Errorf("the head of the response exceeds %d bytes", MaxHeadBytes)
	// ErrTooLarge is wrapped by the error for a body above its limit.
	ErrTooLarge = errors.New("the body is too large")
)

// ReadAll reads a body of at most limit bytes. The error for a longer one wraps ErrTooLarge.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, tooLarge(limit)
	}
	return content, nil
}

// tooLarge returns the error for a body above a limit.
func tooLarge(limit int64) error { return errors.Wrapf(ErrTooLarge, "more than %d bytes", limit) }

// ReadResponse reads the response to a request that was written to a connection. It skips informational responses, and accepts only a well-formed
// head. If the body may end with the connection, that should be one of CheckEnd.
func ReadResponse(conn io.Reader, req *http.Request) (*http.Response, error) {
	head := &headReader{conn: conn, left: MaxHeadBytes}
	reader := bufio.NewReader(head)
	for {
		response, err := http.ReadResponse(reader, req)
		if err != nil {
			return nil, err
		}
		if !isInformational(response.StatusCode) {
			if err := checkHead(response, req); err != nil {
				return nil, err
			}
			head.left = math.MaxInt64 // The reader of the body limits the rest.
			return response, nil
		}
		if err := checkNames(textproto.MIMEHeader(response.Header)); err != nil {
			return nil, err
		}
	}
}

// headReader reads at most left bytes, and the beginning of them as heads.
type headReader struct {
	conn    io.Reader
	left    int64
	scanner headScanner
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if err := r.scanner.scan(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}
