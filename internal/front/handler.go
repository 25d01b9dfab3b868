package front

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// request is an authenticated request with the manifest that was in effect when it arrived.
type request struct {
	*http.Request
	manifest *spec.Manifest
	account  spec.Account
	arrived  time.Time
}

// handler serves a request. It may return an error only before it has written any part of an answer. A *pond.Refusal is
// sent as it is; any other error is sent as an internal error.
type handler func(w http.ResponseWriter, r *request) error

// middleware adds a check to a handler.
type middleware func(handler) handler

// serve authenticates requests and passes them through the middlewares to h. The first middleware is the outermost.
func (f *Front) serve(h handler, middlewares ...middleware) http.Handler {
	for i := len(middlewares) - 1; i >= 0; i-- {
		h = middlewares[i](h)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := &request{Request: r, arrived: time.Now()}
		if err := f.authenticate(req); err != nil {
			f.sendRefusal(w, r, err)
			return
		}
		if f.options.RunKeys != nil {
			w.Header().Set(runKeyHeader, f.options.RunKeys.Issue(req.account.Name(), req.arrived))
		}
		if err := h(w, req); err != nil {
			f.sendRefusal(w, r, err)
		}
	})
}

// authenticate sets the manifest and the account of a request.
func (f *Front) authenticate(r *request) error {
	r.manifest = f.options.Source.Current()
	if r.manifest == nil {
		return refuseWithRetry(pond.ReasonNotReady, r.arrived.Add(notReadyRetryDelay), "this instance has no manifest yet")
	}
	account, ok := f.apiKeys.find(r.manifest, bearerToken(r.Request))
	if !ok {
		return refuse(pond.ReasonUnauthenticated, "the Authorization header holds no valid key")
	}
	r.account = account
	return nil
}

// requireAccepting refuses requests once the instance accepts no new work.
func (f *Front) requireAccepting(next handler) handler {
	return func(w http.ResponseWriter, r *request) error {
		if err := f.checkAccepting(); err != nil {
			return err
		}
		return next(w, r)
	}
}

// checkAccepting returns a refusal once the instance accepts no new work. It is called again when the body of a request has been read, which may
// take longer than the drain.
func (f *Front) checkAccepting() error {
	if f.options.Accepting() {
		return nil
	}
	return refuseWithRetry(pond.ReasonLeaving, time.Now().Add(leavingRetryDelay), "this instance is leaving")
}

// requireConfirmed refuses new work while the manifest is not confirmed. Resuming an answer is not new work.
func (f *Front) requireConfirmed(next handler) handler {
	return func(w http.ResponseWriter, r *request) error {
		if !f.options.Source.Confirmed(r.arrived) {
			return refuseWithRetry(pond.ReasonNotReady, r.arrived.Add(notReadyRetryDelay), "the manifest is not confirmed")
		}
		return next(w, r)
	}
}

// limitAccount applies the account's limits on request rate and open requests.
func (f *Front) limitAccount(next handler) handler {
	return func(w http.ResponseWriter, r *request) error {
		release, err := f.limits.admit(r.account, r.arrived)
		if err != nil {
			return err
		}
		defer release()
		return next(w, r)
	}
}

// zeroTime means no advised retry, and no deadline for a connection.
var zeroTime time.Time

// refuse returns a refusal of a request that was not run, without advice to retry.
func refuse(reason pond.Reason, detail string) *pond.Refusal {
	return refuseWithRetry(reason, zeroTime, detail)
}

func refuseWithRetry(reason pond.Reason, retryAt time.Time, detail string) *pond.Refusal {
	return pond.NewRefusal(reason, pond.RunNo, retryAt, detail)
}

func asRefusal(err error) *pond.Refusal {
	var refusal *pond.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return pond.NewRefusal(pond.ReasonInternal, pond.RunUnknown, zeroTime, err.Error())
}
