package stream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"hash"
	"strings"

	"github.com/pkg/errors"
)

// cursorMACBytes is the length of the truncated HMAC-SHA-256 of a cursor. 128 bits are beyond guessing and keep the
// cursor, which every event carries, short.
const cursorMACBytes = 16

// maxCursorBytes bounds the work for a cursor that a caller sent.
const maxCursorBytes = 2 << 10

// errCursor is returned for a cursor that this deployment did not issue to the account.
var errCursor = errors.New("cursor is not valid for this account")

// Cursor is the position of a caller in its answer. The JSON names are short because every event carries them.
type Cursor struct {
	Backend    string `json:"b"`
	Generation string `json:"g"`
	// Offset is the position of the last token that the caller received.
	Offset int `json:"o"`
	// Relay is the name and incarnation of the instance that relays the generation.
	Relay   string `json:"r"`
	Epoch   uint64 `json:"e"`
	Account string `json:"a"`
	Model   string `json:"m,omitempty"`
	// Format is the Request.Format of the answer.
	Format string `json:"f,omitempty"`
}

// cursorSealer encodes cursors. It is not safe for concurrent use.
type cursorSealer struct {
	mac    hash.Hash
	buffer []byte
}

func newCursorSealer(key []byte) *cursorSealer {
	return &cursorSealer{mac: hmac.New(sha256.New, key)}
}

// seal returns the cursor as text.
func (s *cursorSealer) seal(cursor Cursor) (string, error) {
	plain, err := json.Marshal(cursor)
	if err != nil {
		return "", errors.Wrap(err, "encode cursor")
	}
	s.buffer = base64.RawURLEncoding.AppendEncode(s.buffer[:0], plain)
	s.buffer = append(s.buffer, '.')
	s.buffer = base64.RawURLEncoding.AppendEncode(s.buffer, s.sum(plain))
	return string(s.buffer), nil
}

// open verifies and decodes a cursor.
func (s *cursorSealer) open(text, account string) (Cursor, error) {
	var cursor Cursor
	if len(text) > maxCursorBytes {
		return cursor, errCursor
	}
	body, tag, _ := strings.Cut(text, ".")
	plain, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return cursor, errCursor
	}
	mac, err := base64.RawURLEncoding.DecodeString(tag)
	if err != nil || !hmac.Equal(mac, s.sum(plain)) {
		return cursor, errCursor
	}
	if err := json.Unmarshal(plain, &cursor); err != nil || cursor.Account != account || cursor.Offset < 0 {
		return Cursor{}, errCursor
	}
	return cursor, nil
}

func (s *cursorSealer) sum(plain []byte) []byte {
	s.mac.Reset()
	s.mac.Write([]byte("cursor\x00"))
	s.mac.Write(plain)
	var sum [sha256.Size]byte
	return s.mac.Sum(sum[:0])[:cursorMACBytes]
}
