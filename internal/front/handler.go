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

// handler serves a request. An error means that no answer has been started; a *pond.Refusal is sent as it is.
type handler func(w http.ResponseWriter, r *request) error

// decorator adds a check to a handler.
type decorator func(handler) handler

// serve authenticates requests and passes them through the decorators, the first being the outermost, to h.
func (f *Front) serve(h handler, decorators ...decorator) http.Handler {
	for i := len(decorators) - 1; i >= 0; i-- {
		h = decorators[i](h)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := &request{Request: r, arrived: time.Now()}
		if err := f.identify(req); err != nil {
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

// identify sets the manifest and the account of a request.
func (f *Front) identify(r *request) error {
	r.manifest = f.options.Source.Current()
	if r.manifest == nil {
		return refuseLater(pond.ReasonNotReady, r.arrived.Add(notReadyRetry), "this instance has no manifest yet")
	}
	account, ok := f.keys.find(r.manifest, bearer(r.Request))
	if !ok {
		return refuse(pond.ReasonUnauthenticated, "the Authorization header holds no valid key")
	}
	r.account = account
	return nil
}

// admitted refuses requests while the instance is leaving.
func (f *Front) admitted(next handler) handler {
	return func(w http.ResponseWriter, r *request) error {
		if !f.options.Accepting() {
			return refuseLater(pond.ReasonLeaving, r.arrived.Add(leavingRetry), "this instance is leaving")
		}
		return next(w, r)
	}
}

// confirmed refuses new work while the manifest is not confirmed. Resuming an answer is no new work.
func (f *Front) confirmed(next handler) handler {
	return func(w http.ResponseWriter, r *request) error {
		if !f.options.Source.Confirmed(r.arrived) {
			return refuseLater(pond.ReasonNotReady, r.arrived.Add(notReadyRetry), "the manifest is not confirmed")
		}
		return next(w, r)
	}
}

// limited applies the account's limits on rate and open requests.
func (f *Front) limited(next handler) handler {
	return func(w http.ResponseWriter, r *request) error {
		release, err := f.limits.enter(r.account, r.arrived)
		if err != nil {
			return err
		}
		defer release()
		return next(w, r)
	}
}

// noTime advises no retry.
var noTime time.Time

// refuse returns a refusal of a request that was not run.
func refuse(reason pond.Reason, detail string) *pond.Refusal {
	return refuseLater(reason, noTime, detail)
}

func refuseLater(reason pond.Reason, retryAt time.Time, detail string) *pond.Refusal {
	return pond.NewRefusal(reason, pond.RunNo, retryAt, detail)
}

func asRefusal(err error) *pond.Refusal {
	var refusal *pond.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return pond.NewRefusal(pond.ReasonInternal, pond.RunUnknown, noTime, err.Error())
}
