package naive

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// maxAnswerBytes bounds the body of one answer.
const maxAnswerBytes = 2 << 20

// Executor is the naive pond.Executor. It picks the owner of a call's key by rendezvous hashing over its own list of
// live instances and forwards the call to it; the owner remembers which keys ran. Instances whose lists differ run a
// key twice. The retries of net/http stay enabled; they repeat a call with an Idempotency-Key when a reused connection
// fails.
type Executor struct {
	manifests spec.Source
	directory pond.Directory
	forward   func(ctx context.Context, peerAddress string, call pond.Call) (pond.Answer, error)
	client    *http.Client
	table     *CallTable
}

// NewExecutor returns an executor. forward sends a call to the instance with the given peer address.
func NewExecutor(
	manifests spec.Source, directory pond.Directory,
	forward func(ctx context.Context, peerAddress string, call pond.Call) (pond.Answer, error),
) *Executor {
	return &Executor{
		manifests: manifests,
		directory: directory,
		forward:   forward,
		client:    &http.Client{Transport: bound.NewTransport(nil)},
		table:     NewCallTable(),
	}
}

// Owner returns the live instance with the highest rendezvous hash for the key, or false if no instance is live.
func Owner(key string, directory pond.Directory) (pond.Instance, bool) {
	var live []pond.Instance
	for _, instance := range directory.Instances() {
		if instance.State() == pond.InstanceLive {
			live = append(live, instance)
		}
	}
	if len(live) == 0 {
		return pond.Instance{}, false
	}
	return slices.MaxFunc(live, func(a, b pond.Instance) int {
		return cmp.Compare(hashWeight(key, a), hashWeight(key, b))
	}), true
}

func hashWeight(key string, instance pond.Instance) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(instance.ID()))
}

// CallTable remembers the keys that ran. It is safe for concurrent use.
type CallTable struct {
	mu   sync.Mutex
	seen map[string]struct{}
}

// NewCallTable returns an empty table.
func NewCallTable() *CallTable { return &CallTable{seen: make(map[string]struct{})} }

// Claim reports whether the key is new, and remembers it.
func (t *CallTable) Claim(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.seen[key]; ok {
		return false
	}
	t.seen[key] = struct{}{}
	return true
}

// Handle runs a call. The error is a *pond.Refusal.
func (e *Executor) Handle(ctx context.Context, call pond.Call) (pond.Answer, error) {
	if call.Key == "" || call.Forwarded {
		return e.run(ctx, call)
	}
	owner, ok := Owner(call.Key, e.directory)
	if !ok || owner.ID() == e.directory.Self().ID() {
		return e.run(ctx, call)
	}
	return e.forward(ctx, owner.PeerAddress(), call)
}

func (e *Executor) run(ctx context.Context, call pond.Call) (pond.Answer, error) {
	if call.Key != "" && !e.table.Claim(call.Key) {
		return pond.Answer{}, callRefusal(pond.ReasonKeyReused, "the key was used before")
	}
	manifest := e.manifests.Current()
	service, ok := manifest.Service(call.Service)
	if !ok {
		return pond.Answer{}, callRefusal(pond.ReasonNotFound, "no such service")
	}
	for _, name := range service.Backends() {
		backend, _ := manifest.Backend(name)
		if answer, err := e.send(ctx, backend.Address(), call); err == nil {
			return answer, nil
		}
	}
	return pond.Answer{}, callRefusal(pond.ReasonBackendFailed, "no replica answered")
}

func (e *Executor) send(ctx context.Context, address string, call pond.Call) (pond.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return pond.Answer{}, err
	}
	req.Header.Set("Idempotency-Key", call.Key)
	response, err := e.client.Do(req)
	if err != nil {
		return pond.Answer{}, err
	}
	defer response.Body.Close()
	body, err := bound.ReadAll(response.Body, maxAnswerBytes)
	return pond.Answer{Status: response.StatusCode, Header: response.Header, Body: body}, err
}

func callRefusal(reason pond.Reason, detail string) *pond.Refusal {
	return pond.NewRefusal(reason, pond.RunUnknown, time.Time{}, detail)
}
