package calls

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const testAccount = "acme"

// fixedSource is a spec.Source with a fixed manifest.
type fixedSource struct {
	manifest    *spec.Manifest
	unconfirmed atomic.Bool
}

func (s *fixedSource) Current() *spec.Manifest  { return s.manifest }
func (s *fixedSource) Confirmed(time.Time) bool { return !s.unconfirmed.Load() }

// fixedDirectory is a pond.Directory with fixed content.
type fixedDirectory struct {
	self      pond.Instance
	instances []pond.Instance
}

func (d *fixedDirectory) Self() pond.Instance        { return d.self }
func (d *fixedDirectory) Instances() []pond.Instance { return d.instances }

func instance(name string, incarnation pond.Incarnation, peerAddress string) pond.Instance {
	ref := pond.InstanceRef{ID: pond.InstanceID(name), Incarnation: incarnation}
	return pond.NewInstance(ref, pond.InstanceLive, "", peerAddress, "a1", "a")
}

// manifestOf returns a manifest with the service "shop" on replicas with the given addresses, named r0, r1 and so on.
// If maxOpen is zero, the limits of the account are too high to be reached.
func manifestOf(t testing.TB, maxRecords, maxOpen int, addresses ...string) *spec.Manifest {
	t.Helper()
	type object = map[string]any
	var backends []object
	var names []string
	for i, address := range addresses {
		names = append(names, "r"+string(rune('0'+i)))
		backends = append(backends, object{"name": names[i], "address": address, "dataCentre": "a1", "kind": "service"})
	}
	rate := 2 * maxOpen
	if maxOpen == 0 {
		maxOpen, rate = 1<<30, 1<<30
	}
	body, err := json.Marshal(object{
		"number":         1,
		"deployment":     "test",
		"regions":        []object{{"name": "a", "dataCentres": []string{"a1"}}},
		"backendServers": backends,
		"services": []object{{"name": "shop", "backendServers": names, "routes": []object{
			{"method": "POST", "path": "/charge", "repeat": "atMostOnce"},
			{"method": "GET", "path": "/status", "repeat": "idempotent"},
		}}},
		"clientAccounts": []object{{"name": testAccount, "keyHashes": []string{strings.Repeat("0", 64)},
			"weight": 1, "maxOpen": maxOpen, "requestsPerSecond": rate}},
		"policy": object{"maxServiceRecords": maxRecords, "hedgeBudget": 0.05, "retryBudget": 0.1},
	})
	if err != nil {
		t.Fatal(err)
	}
	manifest, err := spec.Decode(body, 1)
	if err != nil {
		t.Fatal(err)
	}
	return manifest
}

func newTestExecutor(t testing.TB, dir pond.Directory, src spec.Source, network *peer.Network) *Executor {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Options{
		Source:    src,
		Directory: dir,
		Backends:  pond.BackendViewFunc(func(string) bool { return true }),
		Conn:      network.Conn,
		MACKey:    network.MACKey(),
		Logger:    logger,
	})
}

func newNetwork(t testing.TB) *peer.Network {
	t.Helper()
	network, err := peer.NewNetwork([]byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { network.Close() })
	return network
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// startPair starts the instances x and y, which serve forwarded calls on loopback.
func startPair(t testing.TB, manifest *spec.Manifest) (x, y *Executor) {
	t.Helper()
	return startPairUntil(t, t.Context(), manifest)
}

// startPairUntil is startPair with instances that stop serving forwarded calls when ctx ends.
func startPairUntil(t testing.TB, ctx context.Context, manifest *spec.Manifest) (x, y *Executor) {
	t.Helper()
	network := newNetwork(t)
	listeners := []net.Listener{listen(t), listen(t)}
	instances := []pond.Instance{
		instance("x", 1, listeners[0].Addr().String()),
		instance("y", 2, listeners[1].Addr().String()),
	}
	var executors []*Executor
	for i, listener := range listeners {
		dir := &fixedDirectory{self: instances[i], instances: instances}
		executor := newTestExecutor(t, dir, &fixedSource{manifest: manifest}, network)
		server := network.NewServer()
		if err := peerpb.DRPCRegisterCalls(server.Mux(), executor); err != nil {
			t.Fatal(err)
		}
		go server.Serve(ctx, listener)
		executors = append(executors, executor)
	}
	return executors[0], executors[1]
}

func chargeCall(key, body string) pond.Call {
	return pond.Call{
		Account: testAccount, Service: "shop", Method: http.MethodPost, Path: "/charge", Body: []byte(body), Key: key,
	}
}

// TestForward guards against a call that runs on the receiving instance instead of the one that its key names.
func TestForward(t *testing.T) {
	var runs atomic.Int32
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		io.Copy(w, r.Body)
	}))
	defer service.Close()
	x, y := startPair(t, manifestOf(t, 100, 0, service.Listener.Addr().String()))
	key := x.Issue(testAccount, time.Now()) + ":1"
	for _, executor := range []*Executor{y, x, y} {
		answer, err := executor.Handle(t.Context(), chargeCall(key, "5 euros"))
		if err != nil || string(answer.Body) != "5 euros" {
			t.Fatalf("answer %q, error %v", answer.Body, err)
		}
	}
	if got := runs.Load(); got != 1 {
		t.Errorf("the service ran the call %d times, want 1", got)
	}
	if records, _, _ := y.Counts(); records != 0 {
		t.Errorf("the receiving instance has %d records, want 0", records)
	}
}

// TestRefusals guards against a wrong reason or a false "run: no" for missing, invalid and expired keys and for keys of
// another incarnation.
func TestRefusals(t *testing.T) {
	x, y := startPair(t, manifestOf(t, 100, 0))
	now := time.Now()
	otherIncarnation := &keyIssuer{
		ref:      pond.InstanceRef{ID: "x", Incarnation: 99},
		macKey:   x.keys.macKey,
		started:  x.keys.started,
		validity: DefaultKeyValidity,
	}
	tests := []struct {
		name   string
		key    string
		reason pond.Reason
		run    pond.RunState
	}{
		{name: "no key", key: "", reason: pond.ReasonKeyMissing, run: pond.RunNo},
		{name: "no suffix", key: x.Issue(testAccount, now), reason: pond.ReasonKeyInvalid, run: pond.RunNo},
		{name: "other account", key: x.Issue("other", now) + ":1", reason: pond.ReasonKeyInvalid, run: pond.RunNo},
		{name: "changed MAC", key: x.Issue(testAccount, now) + "A:1", reason: pond.ReasonKeyInvalid, run: pond.RunNo},
		{
			name:   "expired",
			key:    x.Issue(testAccount, now.Add(-DefaultKeyValidity-time.Second)) + ":1",
			reason: pond.ReasonKeyExpired, run: pond.RunUnknown,
		},
		{
			name:   "incarnation gone",
			key:    otherIncarnation.issue(testAccount, now) + ":1",
			reason: pond.ReasonExecutorGone, run: pond.RunUnknown,
		},
		{name: "no replica", key: x.Issue(testAccount, now) + ":1", reason: pond.ReasonNoBackend, run: pond.RunNo},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, executor := range []*Executor{x, y} {
				_, err := executor.Handle(context.Background(), chargeCall(test.key, ""))
				wantRefusal(t, err, test.reason, test.run)
			}
		})
	}
}

// TestRunKey guards against issued keys that cannot be parsed because of special characters in a name, and against
// accepting a modified key or the key of another account.
func TestRunKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := rapid.String().Draw(t, "account")
		now := time.Unix(1000, 0)
		keys := &keyIssuer{macKey: []byte("key"), started: now, validity: time.Minute}
		keys.ref.ID = pond.InstanceID(rapid.StringOf(rapid.RuneFrom([]rune(".:%+ab~ é"))).Draw(t, "instance"))
		keys.ref.Incarnation = pond.Incarnation(rapid.Uint64().Draw(t, "incarnation"))
		prefix := keys.issue(account, now)
		key, err := keys.parse(prefix+":a:b", account)
		if err != nil || key.ref != keys.ref || key.expiry != time.Minute {
			t.Fatalf("key %+v, error %v", key, err)
		}
		if _, err := keys.parse(prefix+":a", account+"x"); err == nil {
			t.Fatal("the key of another account was accepted")
		}
		at := rapid.IntRange(0, len(prefix)-1).Draw(t, "changed byte")
		changed := prefix[:at] + "-" + prefix[at+1:]
		if _, err := keys.parse(changed+":a", account); err == nil && changed != prefix {
			t.Fatalf("the modified prefix %q was accepted", changed)
		}
	})
}

func wantRefusal(t testing.TB, err error, reason pond.Reason, run pond.RunState) {
	t.Helper()
	var refusal *pond.Refusal
	if !errors.As(err, &refusal) || refusal.Reason() != reason || refusal.Run() != run {
		t.Errorf("error %v, want a refusal with reason %s and run %s", err, reason, run)
	}
}
