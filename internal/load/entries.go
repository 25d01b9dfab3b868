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
)

// lookupTimeout bounds one GET /v1/entries.
const lookupTimeout = 3 * time.Second

// entriesRetry is how long a caller uses its configured addresses after a failed lookup.
const entriesRetry = time.Second

type entriesDoc struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	ValidUntil time.Time `json:"validUntil"`
	RunKey     string    `json:"runKey"`
}

// directory is one account's cached answer of GET /v1/entries.
type directory struct {
	client  *http.Client
	account int
	seeds   []string

	mu         sync.Mutex
	addresses  []string
	runKey     string
	validUntil time.Time
}

func newDirectory(client *http.Client, account int, seeds []string) *directory {
	return &directory{client: client, account: account, seeds: seeds}
}

// pick returns a random address other than avoid, if there is one, and the run key prefix, which is empty if the
// system gave none.
func (d *directory) pick(ctx context.Context, avoid string) (address, runKey string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !time.Now().Before(d.validUntil) {
		d.refresh(ctx)
	}
	first := rand.IntN(len(d.addresses))
	for i := range d.addresses {
		address = d.addresses[(first+i)%len(d.addresses)]
		if address != avoid {
			break
		}
	}
	return address, d.runKey
}

// expire makes the next pick ask again, after an address of the answer failed.
func (d *directory) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.validUntil = time.Time{}
}

// refresh asks known addresses in random order. If none answers, the configured ones are used for a moment.
func (d *directory) refresh(ctx context.Context) {
	candidates := slices.Concat(d.addresses, d.seeds)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, address := range candidates {
		doc, err := d.lookup(ctx, address)
		if err != nil || len(doc.Entries) == 0 {
			continue
		}
		d.addresses = nil
		for _, entry := range doc.Entries {
			d.addresses = append(d.addresses, entry.Address)
		}
		d.runKey, d.validUntil = doc.RunKey, doc.ValidUntil
		return
	}
	d.addresses, d.validUntil = d.seeds, time.Now().Add(entriesRetry)
}

func (d *directory) lookup(ctx context.Context, address string) (entriesDoc, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var doc entriesDoc
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return doc, errors.Wrap(err, "create lookup")
	}
	req.Header.Set("Authorization", "Bearer "+keyOf(d.account))
	resp, err := d.client.Do(req)
	if err != nil {
		return doc, errors.Wrap(err, "look up entries")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return doc, errors.Errorf("look up entries at %s: status %d", address, resp.StatusCode)
	}
	return doc, errors.Wrap(json.NewDecoder(resp.Body).Decode(&doc), "look up entries")
}
