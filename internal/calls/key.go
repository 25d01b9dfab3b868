package calls

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// maxKeyBytes limits the memory used by the key of one record.
	maxKeyBytes = 512
	// macBytes is the length of the truncated HMAC-SHA-256; 128 bits cannot be guessed while a key is valid.
	macBytes = 16
	// prefixFieldCount is the minimum number of dot-separated fields of a prefix; dots in the instance ID add more.
	prefixFieldCount = 5
	numberBase       = 36
)

var errInvalidKey = errors.New("run key is not valid for this account")

// runKey is a parsed idempotency key.
type runKey struct {
	// text is the whole key, which identifies the request.
	text string
	// ref is the only incarnation that may run the request.
	ref pond.InstanceRef
	// expiry is relative to the start of that incarnation, which checks it with its monotonic clock.
	expiry time.Duration
}

// keyIssuer issues the run keys of one incarnation and parses those of all instances. It is safe for concurrent use.
type keyIssuer struct {
	ref      pond.InstanceRef
	macKey   []byte
	started  time.Time
	validity time.Duration
	serial   atomic.Uint64
}

// issue returns a new prefix "instance.incarnation.serial.expiry.mac". The instance ID is query-escaped, so that it
// contains no colon; the expiry is in milliseconds since the start of the incarnation.
func (k *keyIssuer) issue(account string, now time.Time) string {
	expiry := now.Add(k.validity).Sub(k.started).Milliseconds()
	unsigned := strings.Join([]string{
		url.QueryEscape(string(k.ref.ID)),
		strconv.FormatUint(uint64(k.ref.Incarnation), numberBase),
		strconv.FormatUint(k.serial.Add(1), numberBase),
		strconv.FormatInt(expiry, numberBase),
	}, ".")
	return unsigned + "." + k.mac(unsigned, account)
}

func (k *keyIssuer) mac(unsigned, account string) string {
	h := hmac.New(sha256.New, k.macKey)
	h.Write([]byte("run key\x00" + unsigned + "\x00" + account))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}

// parse authenticates and decodes a key "PREFIX:SUFFIX" that any instance of the deployment issued for the account.
func (k *keyIssuer) parse(text, account string) (runKey, error) {
	prefix, suffix, found := strings.Cut(text, ":")
	if !found || suffix == "" || len(text) > maxKeyBytes {
		return runKey{}, errInvalidKey
	}
	end := strings.LastIndexByte(prefix, '.')
	if end < 0 || !hmac.Equal([]byte(prefix[end+1:]), []byte(k.mac(prefix[:end], account))) {
		return runKey{}, errInvalidKey
	}
	fields := strings.Split(prefix, ".")
	if len(fields) < prefixFieldCount {
		return runKey{}, errInvalidKey
	}
	return parseFields(text, fields)
}

func parseFields(text string, fields []string) (runKey, error) {
	idFields := len(fields) - prefixFieldCount + 1
	id, err := url.QueryUnescape(strings.Join(fields[:idFields], "."))
	if err != nil {
		return runKey{}, errors.Wrap(errInvalidKey, err.Error())
	}
	incarnation, err := strconv.ParseUint(fields[idFields], numberBase, 64)
	if err != nil {
		return runKey{}, errors.Wrap(errInvalidKey, err.Error())
	}
	expiry, err := strconv.ParseInt(fields[idFields+2], numberBase, 64)
	if err != nil {
		return runKey{}, errors.Wrap(errInvalidKey, err.Error())
	}
	ref := pond.InstanceRef{ID: pond.InstanceID(id), Incarnation: pond.Incarnation(incarnation)}
	return runKey{text: text, ref: ref, expiry: time.Duration(expiry) * time.Millisecond}, nil
}
