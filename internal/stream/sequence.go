package stream

import "github.com/dragonflypond/dragonflypond/internal/engine"

// verdict is the decision about one event.
type verdict int

const (
	// verdictDrop ignores a duplicate or an event of another generation.
	verdictDrop verdict = iota
	// verdictAccept delivers the event.
	verdictAccept
	// verdictGap asks for a resume from the next offset, because events are missing.
	verdictGap
	// verdictDone ends the complete generation.
	verdictDone
	// verdictSuperseded ends this reader, because another one attached.
	verdictSuperseded
	// verdictLost ends the generation, because the engine gave it up.
	verdictLost
)

// sequence accepts the tokens of one generation in order, each once.
type sequence struct {
	generation string
	next       int
}

// judge decides about an event. An accepted event advances the sequence.
func (s *sequence) judge(event engine.Event) verdict {
	if event.Generation != s.generation {
		return verdictDrop
	}
	switch event.Kind {
	case engine.EventToken:
		return s.judgeToken(event.Offset)
	case engine.EventDone:
		return s.judgeDone(event.Tokens)
	case engine.EventSuperseded:
		return verdictSuperseded
	default:
		return verdictLost
	}
}

func (s *sequence) judgeToken(offset int) verdict {
	switch {
	case offset < s.next:
		return verdictDrop
	case offset > s.next:
		return verdictGap
	}
	s.next++
	return verdictAccept
}

// judgeDone accepts the end only if every token has arrived. An end that names fewer tokens than were accepted belongs
// to an earlier state of the engine and proves nothing about the generation.
func (s *sequence) judgeDone(tokens int) verdict {
	if tokens != s.next {
		return verdictGap
	}
	return verdictDone
}
