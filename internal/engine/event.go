package engine

//go:generate go tool enumer -type=EventKind -trimprefix=Event -transform=lower -output=eventkind_enumer.go

// EventKind is the kind of an event in the stream of a generation.
type EventKind int

// Kinds of events. All but EventToken end the stream.
const (
	// EventToken carries one token.
	EventToken EventKind = iota
	// EventDone ends a generation that is complete.
	EventDone
	// EventSuperseded ends the stream of a reader because another reader attached to the same generation.
	EventSuperseded
	// EventError ends a generation that failed at the engine.
	EventError
)

// Event is one event of a generation.
type Event struct {
	Kind       EventKind
	Generation string
	// Offset is the zero-based position of a token in its generation.
	Offset int
	Text   string
	// Tokens is the number of tokens of a complete generation.
	Tokens int
}

// Events is the stream of events of one generation.
type Events interface {
	// Next blocks until the next event. The error is io.EOF if the engine closed the stream.
	Next() (Event, error)
	// Close ends the stream. The generation continues at the engine.
	Close() error
}

// Generation is the request to start a generation.
type Generation struct {
	Generation string `json:"generation"`
	Model      string `json:"model"`
	Version    string `json:"version,omitempty"`
	Adapter    string `json:"adapter,omitempty"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"maxTokens,omitempty"`
	Priority   int    `json:"priority,omitempty"`
}
