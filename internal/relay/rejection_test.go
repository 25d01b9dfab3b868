package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// respondUnproven returns a handler that runs the request and answers with the status of a rejection.
func respondUnproven(status int, retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "the body of the backend server")
	}
}

// rejectionStatuses are the statuses after which callers may repeat any request.
var rejectionStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// TestUnprovenRejection guards against a caller who is told that its request has not run, or when to send it again, by a backend server that may have
// run it, and against a backend server that fails so and stays as welcome as the others.
func TestUnprovenRejection(t *testing.T) {
	for _, way := range routeKinds {
		for _, status := range rejectionStatuses {
			for _, answer := range []struct {
				retryAfter string
				tunneled   bool // through another instance
			}{{"", false}, {"3", false}, {"", true}} {
				t.Run(fmt.Sprintf("%s, %d, Retry-After %q, tunneled %t", way.name, status, answer.retryAfter, answer.tunneled), func(t *testing.T) {
					t.Parallel()
					backend := newFakeBackend(t, respondUnproven(status, answer.retryAfter))
					bed := newTestBed(t, way.kind, way.engine, backend)
					if answer.tunneled {
						newFakeHelper(bed)
					}
					resp, err := http.DefaultTransport.RoundTrip(bed.request(t, "key", ""))
					if err != nil {
						t.Fatal(err)
					}
					defer resp.Body.Close()
					body, err := io.ReadAll(resp.Body)
					if resp.StatusCode != http.StatusBadGateway || len(body) > 0 || err != nil {
						t.Errorf("status %d, body %q, error %v, want 502 without the body of the backend server", resp.StatusCode, body, err)
					}
					if after := resp.Header.Get("Retry-After"); after != "" {
						t.Errorf("Retry-After is %q, want none", after)
					}
					if requests := backend.requestCount(); requests != 1 {
						t.Errorf("the request ran %d times, want once", requests)
					}
					suspect := bed.relay.replicas.isSuspect("b0", time.Now())
					if way.engine != nil {
						bed.placer.awaitEnd(t)
						suspect = bed.placer.ended[0] == pond.PlacementEnd{BackendFailed: true}
					}
					if !suspect {
						t.Error("the backend server is not suspect")
					}
					if crashes := bed.relay.options.Requests.Crashes() + bed.relay.options.Hazards.Crashes(); crashes > 0 {
						t.Error("the answer counts as a crash of the backend server")
					}
				})
			}
		}
	}
}

// TestUnprovenRejectionIsRetried guards against a request of an idempotent route that fails because of one backend server, and against further
// requests to it while another one serves.
func TestUnprovenRejectionIsRetried(t *testing.T) {
	for _, status := range rejectionStatuses {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			failing := newFakeBackend(t, respondUnproven(status, ""))
			bed := newTestBed(t, route.KindIdempotent, nil, failing, newFakeBackend(t, respondOK))
			for range 4 {
				if status, body := bed.post(t, "key"); status != http.StatusOK || body != "ok hello" {
					t.Errorf("status %d, body %q", status, body)
				}
			}
			if requests := failing.requestCount(); requests > 1 {
				t.Errorf("%d requests at the backend server that fails, want one at most", requests)
			}
		})
	}
}

// TestRejectionAfterAttempt guards against a caller who is told that its request has not run because the last of several backend servers, or the first,
// says so, although another one may have run it.
func TestRejectionAfterAttempt(t *testing.T) {
	unproven := respondUnproven(http.StatusServiceUnavailable, "3")
	tests := []struct {
		name          string
		first, second http.HandlerFunc
		wantPlain     int
		wantEngine    int
	}{
		{"unproven, then reset", unproven, resetConnection, http.StatusBadGateway, http.StatusBadGateway},
		{"reset, then unproven", resetConnection, unproven, http.StatusBadGateway, http.StatusBadGateway},
		{"unproven, then not run", unproven, respondNotRun, http.StatusBadGateway, http.StatusBadGateway},
		{"not run, then unproven", respondNotRun, unproven, http.StatusBadGateway, http.StatusBadGateway},
		{"unproven twice", unproven, unproven, http.StatusBadGateway, http.StatusBadGateway},
		{"failed, then unproven", respondError, unproven, http.StatusInternalServerError, http.StatusBadGateway},
		{"unproven, then failed", unproven, respondError, http.StatusInternalServerError, http.StatusInternalServerError},
		{"not run twice", respondNotRun, respondNotRun, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		for _, engine := range []*route.EngineSpec{nil, {Slots: 4}} {
			t.Run(fmt.Sprintf("%s, engine %t", test.name, engine != nil), func(t *testing.T) {
				t.Parallel()
				// Each backend server answers in its turn, whichever is asked first.
				turns := make(chan http.HandlerFunc, 2)
				turns <- test.first
				turns <- test.second
				inTurn := func(w http.ResponseWriter, r *http.Request) {
					select {
					case respond := <-turns:
						respond(w, r)
					default:
						respondNotRun(w, r)
					}
				}
				kind, want := route.KindIdempotent, test.wantPlain
				if engine != nil {
					kind, want = route.KindStream, test.wantEngine
				}
				bed := newTestBed(t, kind, engine, newFakeBackend(t, inTurn), newFakeBackend(t, inTurn))
				bed.placer.spread = true
				if engine != nil {
					bed.setResumable(bed.callerWait, 2)
				}
				if status, body := bed.post(t, "key"); status != want {
					t.Errorf("status %d, body %q, want %d", status, body, want)
				}
			})
		}
	}
}

// TestUnprovenRejectionOfResumption guards against a run that goes on twice because the engine that took its copy says with a status alone that it
// did not, and against a caller without any event who is told so.
func TestUnprovenRejectionOfResumption(t *testing.T) {
	for _, status := range rejectionStatuses {
		for _, events := range []int{0, 1} {
			t.Run(fmt.Sprintf("%d after %d events", status, events), func(t *testing.T) {
				t.Parallel()
				stop := make(chan struct{})
				var bed *testBed
				source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Handle") != "" {
						t.Error("the source is asked to go on with a run that may go on elsewhere")
						return
					}
					if events > 0 {
						writeEvent(w, 1)
					} else {
						w.WriteHeader(http.StatusOK)
						_ = http.NewResponseController(w).Flush()
					}
					bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
					select {
					case <-stop:
					case <-time.After(bed.callerWait):
						t.Error("the run is not moved")
					}
					resetConnection(w, nil)
				})
				bed = newTestBed(t, route.KindStream, &route.EngineSpec{Slots: 4}, source, newFakeBackend(t, respondUnproven(status, "3")))
				bed.copier.onLast = func() { close(stop) }
				want := 0
				if events == 0 {
					want = http.StatusBadGateway
				}
				if status, body := bed.post(t, "key"); status != want {
					t.Errorf("status %d, body %q, want %d", status, body, want)
				}
			})
		}
	}
}

// TestBackoffInUnprovenRejection guards against further requests to a backend server that asks for a back-off while it answers a run as not run, and
// against callers who are not told when to come back although nothing of theirs has run.
func TestBackoffInUnprovenRejection(t *testing.T) {
	for _, kind := range []route.Kind{route.KindAtMostOnce, route.KindIdempotent} {
		t.Run(kind.String(), func(t *testing.T) {
			backend := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Rest", "3s")
				respondUnproven(http.StatusServiceUnavailable, "3")(w, r)
			})
			bed := newTestBed(t, kind, nil, backend)
			for _, want := range []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusServiceUnavailable} {
				resp, err := http.DefaultTransport.RoundTrip(bed.request(t, "key", ""))
				if err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
				if advised := resp.Header.Get("Retry-After") != ""; resp.StatusCode != want || advised != (want == http.StatusServiceUnavailable) {
					t.Errorf("status %d, advised to come back later: %t, want %d", resp.StatusCode, advised, want)
				}
			}
			if requests := backend.requestCount(); requests != 1 {
				t.Errorf("%d requests at the backend server, want one", requests)
			}
		})
	}
}

// TestUnprovenRejectionInLog guards against a failure whose log does not tell why the status of the backend server is not that of the response.
func TestUnprovenRejectionInLog(t *testing.T) {
	err := error(&unprovenRejectionError{status: http.StatusServiceUnavailable})
	if want := "the backend server answered 503 without stating that it did not run the request"; err.Error() != want {
		t.Errorf("error %q, want %q", err, want)
	}
	if mayBeCrash(errors.Join(err)) {
		t.Error("the answer may count as a crash")
	}
}
