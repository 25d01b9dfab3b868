package once

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
	// maxKeyBytes bounds the memory of one record's key.
	maxKeyBytes = 512
	// macBytes is the length of the truncated HMAC-SHA-256; 128 bits cannot be guessed within a key's validity.
	macBytes = 16
	// prefixFields is the number of dot-separated fields of a prefix.
	prefixFields = 5
	numberBase   = 36
)

var errKey = errors.New("run key is not valid for this account")

// runKey is a parsed idempotency key.
type runKey struct {
	// text is the whole key and the identity of the request.
	text string
	// ref names the only incarnation that may run the request.
	ref pond.InstanceRef
	// expiry is relative to the start of that incarnation, so that only its monotonic clock matters.
	expiry time.Duration
}

// keyring issues and checks run keys of one incarnation. It is safe for concurrent use.
type keyring struct {
	ref      pond.InstanceRef
	macKey   []byte
	started  time.Time
	validity time.Duration
	serial   atomic.Uint64
}

// issue returns a new prefix "instance.incarnation.serial.expiry.mac". The instance is query-escaped, so that its name
// contains no colon; the expiry is in milliseconds since the start of the incarnation.
func (k *keyring) issue(account string, now time.Time) string {
	expiry := now.Add(k.validity).Sub(k.started).Milliseconds()
	unsigned := strings.Join([]string{
		url.QueryEscape(string(k.ref.ID)),
		strconv.FormatUint(uint64(k.ref.Incarnation), numberBase),
		strconv.FormatUint(k.serial.Add(1), numberBase),
		strconv.FormatInt(expiry, numberBase),
	}, ".")
	return unsigned + "." + k.mac(unsigned, account)
}

func (k *keyring) mac(unsigned, account string) string {
	h := hmac.New(sha256.New, k.macKey)
	h.Write([]byte("run key\x00" + unsigned + "\x00" + account))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}

// parse checks a key "PREFIX:SUFFIX" that any instance of the deployment issued for the account.
func (k *keyring) parse(text, account string) (runKey, error) {
	prefix, suffix, found := strings.Cut(text, ":")
	if !found || suffix == "" || len(text) > maxKeyBytes {
		return runKey{}, errKey
	}
	end := strings.LastIndexByte(prefix, '.')
	if end < 0 || !hmac.Equal([]byte(prefix[end+1:]), []byte(k.mac(prefix[:end], account))) {
		return runKey{}, errKey
	}
	fields := strings.Split(prefix, ".")
	if len(fields) < prefixFields {
		return runKey{}, errKey
	}
	return parseFields(text, fields)
}

func parseFields(text string, fields []string) (runKey, error) {
	numbers := len(fields) - prefixFields + 1
	id, err := url.QueryUnescape(strings.Join(fields[:numbers], "."))
	if err != nil {
		return runKey{}, errors.Wrap(errKey, err.Error())
	}
	incarnation, err := strconv.ParseUint(fields[numbers], numberBase, 64)
	if err != nil {
		return runKey{}, errors.Wrap(errKey, err.Error())
	}
	expiry, err := strconv.ParseInt(fields[numbers+2], numberBase, 64)
	if err != nil {
		return runKey{}, errors.Wrap(errKey, err.Error())
	}
	ref := pond.InstanceRef{ID: pond.InstanceID(id), Incarnation: pond.Incarnation(incarnation)}
	return runKey{text: text, ref: ref, expiry: time.Duration(expiry) * time.Millisecond}, nil
}
