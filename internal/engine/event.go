package engine

//go:generate go tool enumer -type=EventKind -trimprefix=Event -transform=lower -output=eventkind_enumer.go

// EventKind tells what an event of a generation means.
type EventKind int

// Kinds of events.
const (
	// EventToken carries one token.
	EventToken EventKind = iota
	// EventDone ends a generation that is complete.
	EventDone
	// EventSuperseded ends the stream of a reader because another reader attached to the same generation.
	EventSuperseded
	// EventError ends a generation that the engine gave up.
	EventError
)

// Event is one event of a generation. It is a plain value without behavior.
type Event struct {
	Kind       EventKind
	Generation string
	// Offset is the position of a token in its generation, beginning with 0.
	Offset int
	Text   string
	// Tokens is the length of a complete generation.
	Tokens int
}

// Events is the stream of events of one generation.
type Events interface {
	// Next blocks until the next event. The error is io.EOF if the engine closed the stream.
	Next() (Event, error)
	// Close ends the stream. The generation goes on at the engine.
	Close() error
}

// Generation describes a generation to start. It is a plain value without behavior.
type Generation struct {
	Generation string `json:"generation"`
	Model      string `json:"model"`
	Version    string `json:"version,omitempty"`
	Adapter    string `json:"adapter,omitempty"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"maxTokens,omitempty"`
	Priority   int    `json:"priority,omitempty"`
}
