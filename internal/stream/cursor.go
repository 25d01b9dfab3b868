package stream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"hash"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// cursorMACBytes is the length of the truncated HMAC-SHA-256 of a cursor. 128 bits are beyond guessing and keep the
// cursor, which every event carries, short.
const cursorMACBytes = 16

// maxCursorBytes bounds the work for a cursor that a caller sent.
const maxCursorBytes = 2 << 10

// cursorDomain keeps a code made for another purpose with the same key from being valid for a cursor.
var cursorDomain = []byte("cursor\x00")

// errCursor is returned for a cursor that this deployment did not issue to the account.
var errCursor = errors.New("cursor is not valid for this account")

// Cursor is the position of a caller in its answer. The JSON names are short because every event carries them.
type Cursor struct {
	Backend    string `json:"b"`
	Generation string `json:"g"`
	// Relay is the name and incarnation of the instance that relays the generation.
	Relay   string `json:"r"`
	Epoch   uint64 `json:"e"`
	Account string `json:"a"`
	Model   string `json:"m,omitempty"`
	// Format is the Request.Format of the answer.
	Format string `json:"f,omitempty"`
	// Offset is the position of the last token that the caller received. It is the last field, so that the encoding of
	// the others, which stay the same for a stream, can be kept.
	Offset int `json:"o"`
}

// cursorSealer encodes cursors. It is not safe for concurrent use.
type cursorSealer struct {
	mac hash.Hash
	// fixed is the last cursor with offset 0, and prefix the length of its encoding in plain up to the offset.
	fixed  Cursor
	prefix int
	plain  []byte
	buffer []byte
	digest [sha256.Size]byte
}

func newCursorSealer(key []byte) *cursorSealer {
	return &cursorSealer{mac: hmac.New(sha256.New, key)}
}

// seal returns the cursor as text.
func (s *cursorSealer) seal(cursor Cursor) (string, error) {
	if err := s.encode(cursor); err != nil {
		return "", err
	}
	s.buffer = base64.RawURLEncoding.AppendEncode(s.buffer[:0], s.plain)
	s.buffer = append(s.buffer, '.')
	s.buffer = base64.RawURLEncoding.AppendEncode(s.buffer, s.sum(s.plain))
	return string(s.buffer), nil
}

// encode sets plain to the JSON of the cursor.
func (s *cursorSealer) encode(cursor Cursor) error {
	offset := cursor.Offset
	cursor.Offset = 0
	if s.prefix == 0 || cursor != s.fixed {
		plain, err := json.Marshal(cursor)
		if err != nil {
			return errors.Wrap(err, "encode cursor")
		}
		s.fixed, s.plain, s.prefix = cursor, plain, len(plain)-len("0}")
	}
	s.plain = strconv.AppendInt(s.plain[:s.prefix], int64(offset), 10)
	s.plain = append(s.plain, '}')
	return nil
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
	s.mac.Write(cursorDomain)
	s.mac.Write(plain)
	return s.mac.Sum(s.digest[:0])[:cursorMACBytes]
}
