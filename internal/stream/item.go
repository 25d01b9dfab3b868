package stream

import (
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

//go:generate go tool enumer -type=ItemKind -trimprefix=Item -transform=lower -output=itemkind_enumer.go

// ItemKind tells what an Item means.
type ItemKind int

// Kinds of items. Every delivery to a Sink ends with exactly one of ItemDone, ItemError and ItemMove.
const (
	// ItemToken carries the next token.
	ItemToken ItemKind = iota
	// ItemAttached carries a fresh cursor after a resume, before the next token.
	ItemAttached
	// ItemDone ends a complete response.
	ItemDone
	// ItemError ends a response that cannot be completed. Reason and Detail are set.
	ItemError
	// ItemMove ends a stream whose caller should resume at another instance with Cursor.
	ItemMove
)

// Item is one item of a response stream.
type Item struct {
	Kind       ItemKind
	Generation string
	// Offset is the index of a token in its generation, starting at 0.
	Offset int
	Text   string
	// Cursor resumes the response after this item.
	Cursor string
	// Tokens is the number of tokens delivered so far, over all connections of the caller.
	Tokens int
	Reason pond.Reason
	Detail string
}

// Sink receives the items of a response. An error of a Sink means that the caller is gone.
type Sink interface {
	Deliver(item Item) error
}

// SinkFunc adapts a function to Sink.
type SinkFunc func(item Item) error

// Deliver calls f.
func (f SinkFunc) Deliver(item Item) error { return f(item) }
