package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	problemMediaType = "application/problem+json"
	// problemTypePrefix is the prefix of the type URI of every refusal.
	problemTypePrefix = "urn:dragonflypond:refusal:"
	// notReadyRetryDelay is the advised delay while the instance starts or looks for a confirmed peer.
	notReadyRetryDelay = time.Second
	// leavingRetryDelay is the advised delay after which a caller should use another instance.
	leavingRetryDelay = time.Second

	idempotencyKeyHeader = "Idempotency-Key"
	runKeyHeader         = "X-Run-Key"
)

// statusByReason maps reasons to HTTP status codes. Reasons that are not listed are internal errors.
var statusByReason = map[pond.Reason]int{
	pond.ReasonBadRequest:      http.StatusBadRequest,
	pond.ReasonUnauthenticated: http.StatusUnauthorized,
	pond.ReasonForbidden:       http.StatusForbidden,
	pond.ReasonNotFound:        http.StatusNotFound,
	pond.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	pond.ReasonRateLimited:     http.StatusTooManyRequests,
	pond.ReasonTooManyOpen:     http.StatusTooManyRequests,
	pond.ReasonOverloaded:      http.StatusServiceUnavailable,
	pond.ReasonDeadline:        http.StatusGatewayTimeout,
	pond.ReasonNotReady:        http.StatusServiceUnavailable,
	pond.ReasonLeaving:         http.StatusServiceUnavailable,
	pond.ReasonNoBackend:       http.StatusServiceUnavailable,
	pond.ReasonBackendFailed:   http.StatusBadGateway,
	pond.ReasonGenerationLost:  http.StatusGone,
	pond.ReasonSuperseded:      http.StatusConflict,
	pond.ReasonCursorInvalid:   http.StatusBadRequest,
	pond.ReasonKeyMissing:      http.StatusBadRequest,
	pond.ReasonKeyInvalid:      http.StatusBadRequest,
	pond.ReasonKeyExpired:      http.StatusGone,
	pond.ReasonKeyReused:       http.StatusUnprocessableEntity,
	pond.ReasonExecutorGone:    http.StatusBadGateway,
	pond.ReasonTableFull:       http.StatusServiceUnavailable,
	pond.ReasonCanceled:        http.StatusServiceUnavailable,
}

// problem is the body of a refusal (RFC 9457).
type problem struct {
	Type     string `json:"type"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail,omitempty"`
	Reason   string `json:"reason"`
	Run      string `json:"run"`
	Instance string `json:"instance"`
}

func (f *Front) sendRefusal(w http.ResponseWriter, r *http.Request, err error) {
	refusal := asRefusal(err)
	f.options.Metrics.CountRefusal(refusal.Reason())
	status, ok := statusByReason[refusal.Reason()]
	if !ok {
		status = http.StatusInternalServerError
		f.options.Log.WithError(err).WithField("path", r.URL.Path).Error("request failed")
	}
	header := w.Header()
	header.Set("Content-Type", problemMediaType)
	header.Set("Cache-Control", "no-store")
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if at := refusal.RetryAt(); !at.IsZero() {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds(time.Until(at))))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{
		Type:     problemTypePrefix + refusal.Reason().String(),
		Title:    http.StatusText(status),
		Status:   status,
		Detail:   refusal.Detail(),
		Reason:   refusal.Reason().String(),
		Run:      runState(r, err),
		Instance: string(f.options.Directory.Self().ID()),
	})
}

// runState returns "no" only if the refusal proves that the request was not run. For a call with an idempotency key
// only the executor may answer "no", because another copy of the call may be running.
func runState(r *http.Request, err error) string {
	hasIdempotencyKey := r.Header.Get(idempotencyKeyHeader) != "" && strings.HasPrefix(r.URL.Path, servicesPrefix)
	var fromExecutor executorRefusal
	if asRefusal(err).Run() != pond.RunNo || hasIdempotencyKey && !errors.As(err, &fromExecutor) {
		return pond.RunUnknown.String()
	}
	return pond.RunNo.String()
}

// retryAfterSeconds rounds up, so that a caller that follows the advice does not retry too early.
func retryAfterSeconds(wait time.Duration) int {
	return max(1, int(math.Ceil(wait.Seconds())))
}
