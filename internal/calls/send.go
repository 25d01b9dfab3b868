package calls

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// maxAnswerBodyBytes limits the body of one answer, so that it fits into a drpc message of at most 4 MiB.
	maxAnswerBodyBytes = 2 << 20
	// dialTimeout is short enough to try another replica within typical deadlines.
	dialTimeout = time.Second
)

// sender sends a call to one replica. check is called on an established connection directly before the first byte is
// written; its error prevents the send. The outcome is OutcomeNotSent only if no byte was written, that is, after an
// error before the send such as a failed dial or check.
type sender interface {
	send(ctx context.Context, address string, call *pond.Call, check func() error) (pond.Answer, pond.Outcome, error)
}

// unpooledSender opens a new connection for each call and writes the request itself. http.Transport is not used because
// it repeats a request with an Idempotency-Key when a reused connection fails.
type unpooledSender struct {
	dial    engine.DialFunc
	answers *bound.Budget
}

// dialDirect connects to a replica without a helper.
func dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

// newUnpooledSender returns a sender that uses the dial function and holds answers within a budget. Nil connects directly.
func newUnpooledSender(dial engine.DialFunc, answers *bound.Budget) *unpooledSender {
	if dial == nil {
		dial = dialDirect
	}
	return &unpooledSender{dial: dial, answers: answers}
}

func (s *unpooledSender) send(
	ctx context.Context, address string, call *pond.Call, check func() error,
) (pond.Answer, pond.Outcome, error) {
	req, err := newRequest(ctx, address, call)
	if err != nil {
		return pond.Answer{}, pond.OutcomeNotSent, err
	}
	req.Close = true
	conn, err := s.dial(ctx, "tcp", address)
	if err != nil {
		return pond.Answer{}, pond.OutcomeNotSent, errors.Wrap(err, "dial replica")
	}
	defer conn.Close()
	// Closing the connection aborts pending reads and writes.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := check(); err != nil {
		return pond.Answer{}, pond.OutcomeNotSent, err
	}
	return s.exchange(ctx, conn, req, address)
}

// exchange writes the request and reads the answer, which may have come before the whole request was written. After an error, the replica may have
// received the request.
func (s *unpooledSender) exchange(
	ctx context.Context, conn net.Conn, req *http.Request, address string,
) (pond.Answer, pond.Outcome, error) {
	conn = bound.CheckEnd(conn)
	writeErr := req.Write(conn)
	response, err := bound.ReadResponse(conn, req)
	if writeErr != nil && err != nil {
		return pond.Answer{}, pond.OutcomeMaybeSent, errors.Wrap(writeErr, "write request")
	}
	if err != nil {
		return pond.Answer{}, pond.OutcomeMaybeSent, errors.Wrap(err, "read answer")
	}
	defer response.Body.Close()
	answer, err := readAnswer(response, s.answers.Open(address, func() { _ = conn.Close() }), func() error { return confirmEnd(ctx, s.dial, address) })
	if errors.Is(err, bound.ErrTooLarge) || errors.Is(err, bound.ErrNoRoom) { // The replica has answered.
		return pond.Answer{}, pond.OutcomeAnswered, err
	}
	if err != nil {
		return pond.Answer{}, pond.OutcomeMaybeSent, err
	}
	return answer, pond.OutcomeAnswered, nil
}

// readAnswer reads the body of a response. If the end of the connection was that of the body, confirm returns whether that holds. The holding is closed
// when the answer is released.
func readAnswer(response *http.Response, holding *bound.Holding, confirm func() error) (pond.Answer, error) {
	body, err := holding.ReadAll(response.Body, maxAnswerBodyBytes)
	if err == nil && isCloseDelimited(response) {
		err = confirm()
	}
	if err != nil {
		holding.Close()
		return pond.Answer{}, errors.Wrap(err, "read answer body")
	}
	header := response.Header.Clone()
	removeHopByHopHeaders(header)
	answer := pond.Answer{Status: response.StatusCode, Header: header, Body: body}
	return answer.OnRelease(holding.Close), nil
}

// newRequest builds the request to a replica. It has no GetBody, so that no transport can repeat it with its body.
func newRequest(ctx context.Context, address string, call *pond.Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		// Without the slash, the path would become part of the address.
		return nil, errors.New("path does not begin with a slash")
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.GetBody = nil
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	removeHopByHopHeaders(req.Header)
	// The API key of the client account is not passed on to services.
	req.Header.Del("Authorization")
	return req, nil
}

// removeHopByHopHeaders removes the fields that apply to a single connection (RFC 9110, section 7.6.1).
func removeHopByHopHeaders(header http.Header) {
	for _, field := range header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// hopByHopHeaders includes Content-Length, which is derived from the body.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Content-Length",
}
