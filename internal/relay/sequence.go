package relay

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	errEventsMissing = errors.New("the run goes on after an event that the caller does not have")
	errOtherRun      = errors.New("the events of another run follow")
)

//go:generate go tool enumer -type=sourceChange -trimprefix=change -transform=title-lower -output=sourcechange_enumer.go

const irregularStep = -1

// sequence checks that the events which a caller gets are those of one run, each once, also where the run goes on at another engine.
type sequence struct {
	// last is the last numeric event ID that the caller has, -1 for none, and lastData the data of that event.
	last     int64
	lastData []byte
	// step is the difference between successive IDs as long as it is always the same; 0 while it is not known, irregularStep if it varies.
	step int64
	// change is what the next event follows.
	change sourceChange
}

// sourceChange is a change of the source of events. Of several before an event, the greatest holds.
type sourceChange int

const (
	// changeNone is none: events of the same source.
	changeNone sourceChange = iota
	// changeContinued is a run that goes on from its copy.
	changeContinued
	// changeRestarted is another run from the position of the caller on.
	changeRestarted
)

// newSequence returns the sequence of a caller that has the events up to a position; empty for none.
func newSequence(position string) sequence {
	s := sequence{last: -1}
	if number, err := strconv.ParseInt(position, 10, 64); err == nil {
		s.last, s.change = number, changeRestarted
	}
	return s
}

// sourceChanged records that the next event comes from another source. A run that is moved before its first event remains another run.
func (s *sequence) sourceChanged(change sourceChange) { s.change = max(s.change, change) }

// accept reports whether the caller is to get an event, which it does not if it has it already. It returns an error if the event cannot follow. Of
// events without numbers only the first one after a change of the source is checked: nothing tells where it belongs if those before it had numbers.
func (s *sequence) accept(id string, event []byte) (isNew bool, err error) {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		if s.change != changeNone && s.last >= 0 {
			return false, errOtherRun
		}
		s.change = changeNone
		return true, nil
	}
	if number <= s.last {
		if number == s.last && s.change == changeContinued && s.lastData != nil && !bytes.Equal(s.lastData, eventData(nil, event)) {
			return false, errOtherRun
		}
		return false, nil
	}
	if s.change != changeNone && s.step > 0 && number-s.last > s.step {
		return false, errEventsMissing
	}
	s.record(number, event)
	return true, nil
}

func (s *sequence) record(number int64, event []byte) {
	switch {
	case s.last < 0 && number == 1:
		s.step = 1 // A guess: the IDs may count the events.
	case s.last >= 0:
		switch difference := number - s.last; {
		case s.step == 0, s.last == 1: // The step was unknown or guessed.
			s.step = difference
		case s.step != difference:
			s.step = irregularStep
		}
	}
	s.last, s.change = number, changeNone
	s.lastData = eventData(s.lastData[:0], event)
}

// eventData appends the data of an event to a buffer. Other fields may differ when an engine repeats the event.
func eventData(buffer, event []byte) []byte {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			buffer = append(buffer, data...)
		}
	}
	return buffer
}
