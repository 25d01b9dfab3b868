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

// cursorMACBytes is the length of the truncated HMAC-SHA-256 of a cursor. 128 bits cannot be guessed and keep the
// cursor, which every event carries, short.
const cursorMACBytes = 16

// maxCursorBytes bounds the work of verifying a cursor that a caller sent.
const maxCursorBytes = 2 << 10

// cursorDomain separates cursors from other uses of the same key, whose MACs must not be valid for a cursor.
var cursorDomain = []byte("cursor\x00")

// errInvalidCursor is returned for a cursor that this deployment did not issue to the account.
var errInvalidCursor = errors.New("cursor is not valid for this account")

// Cursor is the position of a caller in its response. The JSON names are short because every event carries them.
type Cursor struct {
	Backend    string `json:"b"`
	Generation string `json:"g"`
	// Relay is the ID and incarnation of the instance that relays the generation.
	Relay   string `json:"r"`
	Epoch   uint64 `json:"e"`
	Account string `json:"a"`
	Model   string `json:"m,omitempty"`
	// Format is the Request.Format of the response.
	Format string `json:"f,omitempty"`
	// Offset is the index of the last token that the caller received. It is the last field, so that the encoding of the
	// others, which do not change during a stream, can be reused.
	Offset int `json:"o"`
}

// cursorSigner encodes and verifies cursors. It is not safe for concurrent use.
type cursorSigner struct {
	mac hash.Hash
	// cached is the last cursor with offset 0, and prefixBytes the length of its JSON in payload up to the offset.
	cached      Cursor
	prefixBytes int
	payload     []byte
	buffer      []byte
	digest      [sha256.Size]byte
}

func newCursorSigner(key []byte) *cursorSigner {
	return &cursorSigner{mac: hmac.New(sha256.New, key)}
}

// sign returns the cursor and its MAC as text.
func (s *cursorSigner) sign(cursor Cursor) (string, error) {
	if err := s.encode(cursor); err != nil {
		return "", err
	}
	s.buffer = base64.RawURLEncoding.AppendEncode(s.buffer[:0], s.payload)
	s.buffer = append(s.buffer, '.')
	s.buffer = base64.RawURLEncoding.AppendEncode(s.buffer, s.sum(s.payload))
	return string(s.buffer), nil
}

// encode sets payload to the JSON of the cursor.
func (s *cursorSigner) encode(cursor Cursor) error {
	offset := cursor.Offset
	cursor.Offset = 0
	if s.prefixBytes == 0 || cursor != s.cached {
		payload, err := json.Marshal(cursor)
		if err != nil {
			return errors.Wrap(err, "encode cursor")
		}
		s.cached, s.payload, s.prefixBytes = cursor, payload, len(payload)-len("0}")
	}
	s.payload = strconv.AppendInt(s.payload[:s.prefixBytes], int64(offset), 10)
	s.payload = append(s.payload, '}')
	return nil
}

// verify checks the MAC and the account of a cursor and decodes it.
func (s *cursorSigner) verify(text, account string) (Cursor, error) {
	var cursor Cursor
	if len(text) > maxCursorBytes {
		return cursor, errInvalidCursor
	}
	body, tag, _ := strings.Cut(text, ".")
	payload, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return cursor, errInvalidCursor
	}
	mac, err := base64.RawURLEncoding.DecodeString(tag)
	if err != nil || !hmac.Equal(mac, s.sum(payload)) {
		return cursor, errInvalidCursor
	}
	if err := json.Unmarshal(payload, &cursor); err != nil || cursor.Account != account || cursor.Offset < 0 {
		return Cursor{}, errInvalidCursor
	}
	return cursor, nil
}

func (s *cursorSigner) sum(payload []byte) []byte {
	s.mac.Reset()
	s.mac.Write(cursorDomain)
	s.mac.Write(payload)
	return s.mac.Sum(s.digest[:0])[:cursorMACBytes]
}
