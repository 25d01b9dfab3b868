package stream

import "github.com/dragonflypond/dragonflypond/internal/engine"

// eventVerdict is the decision on one event.
type eventVerdict int

const (
	// verdictDrop ignores a duplicate or an event of another generation.
	verdictDrop eventVerdict = iota
	// verdictAccept delivers the event.
	verdictAccept
	// verdictGap requests a resume from the next offset, because events are missing.
	verdictGap
	// verdictDone ends a complete generation.
	verdictDone
	// verdictSuperseded ends this reader, because another one has attached.
	verdictSuperseded
	// verdictLost ends the generation, because the engine has given it up.
	verdictLost
)

// sequence accepts the tokens of one generation in order, each once.
type sequence struct {
	generation string
	next       int
}

// check returns the verdict on an event. An accepted event advances the sequence.
func (s *sequence) check(event engine.Event) eventVerdict {
	if event.Generation != s.generation {
		return verdictDrop
	}
	switch event.Kind {
	case engine.EventToken:
		return s.checkToken(event.Offset)
	case engine.EventDone:
		return s.checkDone(event.Tokens)
	case engine.EventSuperseded:
		return verdictSuperseded
	default:
		return verdictLost
	}
}

func (s *sequence) checkToken(offset int) eventVerdict {
	switch {
	case offset < s.next:
		return verdictDrop
	case offset > s.next:
		return verdictGap
	}
	s.next++
	return verdictAccept
}

// checkDone accepts the end only if every token has arrived. An end that names fewer tokens than were accepted belongs
// to an earlier state of the engine and proves nothing about the generation.
func (s *sequence) checkDone(tokens int) eventVerdict {
	if tokens != s.next {
		return verdictGap
	}
	return verdictDone
}
