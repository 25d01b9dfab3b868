package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/bound"
)

const (
	// entriesTimeout bounds one GET /v1/entries, and maxEntriesBytes its answer.
	entriesTimeout  = 3 * time.Second
	maxEntriesBytes = 1 << 20
)

// fallbackValidity is how long a caller uses its configured addresses after a failed lookup.
const fallbackValidity = time.Second

type entriesResponse struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	ValidUntil time.Time `json:"validUntil"`
	RunKey     string    `json:"runKey"`
}

// entryCache is one account's cached response of GET /v1/entries.
type entryCache struct {
	client     *http.Client
	account    int
	configured []string

	mu         sync.Mutex
	addresses  []string
	runKey     string
	validUntil time.Time
}

func newEntryCache(client *http.Client, account int, configured []string) *entryCache {
	return &entryCache{client: client, account: account, configured: configured}
}

// pick returns a random address other than avoid, if there is one, and the prefix for idempotency keys, which is empty
// if the system gave none.
func (e *entryCache) pick(ctx context.Context, avoid string) (address, runKey string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !time.Now().Before(e.validUntil) {
		e.refresh(ctx)
	}
	first := rand.IntN(len(e.addresses))
	for i := range e.addresses {
		address = e.addresses[(first+i)%len(e.addresses)]
		if address != avoid {
			break
		}
	}
	return address, e.runKey
}

// invalidate makes the next pick refresh the cache, for example after a cached address failed.
func (e *entryCache) invalidate() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.validUntil = time.Time{}
}

// refresh queries the known addresses in random order. If none answers, the configured ones are used for
// fallbackValidity.
func (e *entryCache) refresh(ctx context.Context) {
	candidates := slices.Concat(e.addresses, e.configured)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, address := range candidates {
		doc, err := e.fetch(ctx, address)
		if err != nil || len(doc.Entries) == 0 {
			continue
		}
		e.addresses = nil
		for _, entry := range doc.Entries {
			e.addresses = append(e.addresses, entry.Address)
		}
		e.runKey, e.validUntil = doc.RunKey, doc.ValidUntil
		return
	}
	e.addresses, e.validUntil = e.configured, time.Now().Add(fallbackValidity)
}

func (e *entryCache) fetch(ctx context.Context, address string) (entriesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	var doc entriesResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return doc, errors.Wrap(err, "create request for entries")
	}
	req.Header.Set("Authorization", "Bearer "+apiKey(e.account))
	resp, err := e.client.Do(req)
	if err != nil {
		return doc, errors.Wrap(err, "look up entries")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return doc, errors.Errorf("look up entries at %s: status %d", address, resp.StatusCode)
	}
	body, err := bound.ReadAll(resp.Body, maxEntriesBytes)
	if err != nil {
		return doc, errors.Wrap(err, "look up entries")
	}
	return doc, errors.Wrap(json.Unmarshal(body, &doc), "look up entries")
}
