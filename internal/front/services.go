package front

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	servicesPrefix = "/services/"
	// answerPartTimeout is how long a caller may take to read each part of an answer, so that one that stops reading does not hold it in memory.
	answerPartTimeout = 30 * time.Second
	answerPartBytes   = 64 << 10
)

// executorRefusal is a refusal by the executor. Only the executor may answer "not run" for a call with an idempotency
// key.
type executorRefusal struct{ *pond.Refusal }

// Unwrap returns the refusal.
func (e executorRefusal) Unwrap() error { return e.Refusal }

// limitServiceCall applies the account's limits, except to at-most-once calls with an idempotency key. Only their
// executor limits those: a refusal here could not truly say "not run", because another copy of the call may be running.
func (f *Front) limitServiceCall(next handler) handler {
	limited := f.limitAccount(next)
	return func(w http.ResponseWriter, r *request) error {
		if r.Header.Get(idempotencyKeyHeader) != "" && repeatRule(r) == spec.RepeatAtMostOnce {
			return next(w, r)
		}
		return limited(w, r)
	}
}

// repeatRule returns the declared repeat rule of the route, or spec.RepeatAtMostOnce if the manifest does not declare
// the route.
func repeatRule(r *request) spec.Repeat {
	service, ok := r.manifest.Service(mux.Vars(r.Request)["service"])
	if !ok {
		return spec.RepeatAtMostOnce
	}
	repeat, _ := service.Repeat(r.Method, servicePath(r))
	return repeat
}

// servicePath returns the path relative to the service, with the query.
func servicePath(r *request) string {
	_, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix), "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// serveCall passes a call to the executor.
func (f *Front) serveCall(w http.ResponseWriter, r *request) error {
	if f.options.Executor == nil {
		return refuse(pond.ReasonNotReady, "this instance runs no calls to services")
	}
	deadline, err := r.deadline()
	if err != nil {
		return err
	}
	body, err := readBody(w, r)
	if err != nil {
		return err
	}
	ctx, leave := f.calls.Enter(r.Context())
	defer leave()
	if err := f.checkAccepting(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	answer, err := f.options.Executor.Handle(ctx, pond.Call{
		Account: r.account.Name(),
		Service: mux.Vars(r.Request)["service"],
		Method:  r.Method,
		Path:    servicePath(r),
		Header:  engine.EndToEndHeader(r.Header, "Authorization"),
		Body:    body,
		Key:     r.Header.Get(idempotencyKeyHeader),
	})
	if err != nil {
		return executorError(ctx, err)
	}
	defer answer.Release()
	header := w.Header()
	for name, values := range engine.EndToEndHeader(answer.Header, "Content-Length") {
		header[name] = values
	}
	w.WriteHeader(answer.Status)
	writeAnswer(w, answer.Body)
	return nil
}

// writeAnswer writes a body to a caller. If the caller stops reading, it aborts the handler, so that a part is not taken for the whole.
func writeAnswer(w http.ResponseWriter, body []byte) {
	control := http.NewResponseController(w)
	// A deadline that stays set would end the connection while the next answer is written.
	defer func() { _ = control.SetWriteDeadline(zeroTime) }()
	for part := range slices.Chunk(body, answerPartBytes) {
		_ = control.SetWriteDeadline(time.Now().Add(answerPartTimeout))
		if _, err := w.Write(part); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// executorError marks a refusal by the executor. Any other error of the executor proves nothing about the call.
func executorError(ctx context.Context, err error) error {
	var refusal *pond.Refusal
	switch {
	case errors.As(err, &refusal) && refusal.Run() == pond.RunNo:
		return executorRefusal{refusal}
	case errors.Is(context.Cause(ctx), errLeaving):
		return pond.NewRefusal(pond.ReasonExecutorGone, pond.RunUnknown, zeroTime, "the shutdown of this instance ended before the answer")
	case refusal != nil:
		return executorRefusal{refusal}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return pond.NewRefusal(pond.ReasonDeadline, pond.RunUnknown, zeroTime, "the deadline passed before the answer")
	default:
		return err
	}
}
