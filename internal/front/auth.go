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

// bearerToken returns the API key of the Authorization header, or "".
func bearerToken(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// apiKeyIndex finds accounts by API key. It is rebuilt when the manifest changes.
type apiKeyIndex struct {
	current atomic.Pointer[apiKeyTable]
}

// apiKeyTable is the index of one manifest. The first bytes of a key's hash select its bucket, so the time of a look-up
// tells an attacker nothing about a key; the hashes in a bucket are compared in constant time.
type apiKeyTable struct {
	manifest *spec.Manifest
	buckets  map[[bucketBytes]byte][]apiKeyEntry
}

const bucketBytes = 4

type apiKeyEntry struct {
	hash    [sha256.Size]byte
	account spec.Account
}

// find returns the account of a key.
func (x *apiKeyIndex) find(manifest *spec.Manifest, key string) (spec.Account, bool) {
	if key == "" {
		return spec.Account{}, false
	}
	table := x.current.Load()
	if table == nil || table.manifest != manifest {
		table = newAPIKeyTable(manifest)
		x.current.Store(table)
	}
	return table.find(sha256.Sum256([]byte(key)))
}

func newAPIKeyTable(manifest *spec.Manifest) *apiKeyTable {
	t := &apiKeyTable{manifest: manifest, buckets: make(map[[bucketBytes]byte][]apiKeyEntry)}
	for _, account := range manifest.Accounts() {
		for _, hexHash := range account.KeyHashes() {
			t.add(hexHash, account)
		}
	}
	return t
}

// add ignores a value that is not the hash of a key.
func (t *apiKeyTable) add(hexHash string, account spec.Account) {
	entry := apiKeyEntry{account: account}
	hash, err := hex.DecodeString(hexHash)
	if err != nil || len(hash) != len(entry.hash) {
		return
	}
	copy(entry.hash[:], hash)
	bucket := [bucketBytes]byte(hash[:bucketBytes])
	t.buckets[bucket] = append(t.buckets[bucket], entry)
}

func (t *apiKeyTable) find(hash [sha256.Size]byte) (account spec.Account, found bool) {
	for _, entry := range t.buckets[[bucketBytes]byte(hash[:bucketBytes])] {
		if subtle.ConstantTimeCompare(entry.hash[:], hash[:]) == 1 {
			account, found = entry.account, true
		}
	}
	return account, found
}
