package front

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// bearer returns the key of the Authorization header, or "".
func bearer(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// keyIndex finds accounts by key. It is rebuilt when the manifest changes.
type keyIndex struct {
	current atomic.Pointer[keyTable]
}

// keyTable is the index of one manifest. The bucket of a key is chosen by the first bytes of its hash, which tells an
// attacker who measures time nothing about a key; the hashes in a bucket are compared in constant time.
type keyTable struct {
	manifest *spec.Manifest
	buckets  map[[bucketBytes]byte][]keyEntry
}

const bucketBytes = 4

type keyEntry struct {
	hash    [sha256.Size]byte
	account spec.Account
}

// find returns the account of a key.
func (x *keyIndex) find(manifest *spec.Manifest, key string) (spec.Account, bool) {
	if key == "" {
		return spec.Account{}, false
	}
	table := x.current.Load()
	if table == nil || table.manifest != manifest {
		table = newKeyTable(manifest)
		x.current.Store(table)
	}
	return table.find(sha256.Sum256([]byte(key)))
}

func newKeyTable(manifest *spec.Manifest) *keyTable {
	t := &keyTable{manifest: manifest, buckets: make(map[[bucketBytes]byte][]keyEntry)}
	for _, account := range manifest.Accounts() {
		for _, text := range account.KeyHashes() {
			t.add(text, account)
		}
	}
	return t
}

// add ignores a text that is not the hash of a key.
func (t *keyTable) add(text string, account spec.Account) {
	entry := keyEntry{account: account}
	hash, err := hex.DecodeString(text)
	if err != nil || len(hash) != len(entry.hash) {
		return
	}
	copy(entry.hash[:], hash)
	bucket := [bucketBytes]byte(hash[:bucketBytes])
	t.buckets[bucket] = append(t.buckets[bucket], entry)
}

func (t *keyTable) find(hash [sha256.Size]byte) (account spec.Account, found bool) {
	for _, entry := range t.buckets[[bucketBytes]byte(hash[:bucketBytes])] {
		if subtle.ConstantTimeCompare(entry.hash[:], hash[:]) == 1 {
			account, found = entry.account, true
		}
	}
	return account, found
}
