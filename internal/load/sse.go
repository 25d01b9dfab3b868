package load

import (
	"bufio"
	"strings"

	"github.com/pkg/errors"
)

// maxEventBytes bounds an event.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.Errorf("event exceeds %d bytes", maxEventBytes)

// event is one server-sent event.
type event struct {
	name string
	data string
}

// eventReader decodes server-sent events and remembers the last event ID.
type eventReader struct {
	reader *bufio.Reader
	lastID string
}

// next returns the next event with data; events without data only update the last event ID.
func (r *eventReader) next() (event, error) {
	var e event
	var data []byte
	id := r.lastID
	for {
		line, err := r.readLine()
		if err != nil {
			return event{}, err
		}
		if line == "" {
			r.lastID = id
			if len(data) > 0 {
				e.data = string(data)
				return e, nil
			}
			e = event{}
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			id = value
		case "event":
			e.name = value
		case "data":
			data = append(data, value...)
		}
		if len(data) > maxEventBytes {
			return event{}, errEventTooLarge
		}
	}
}

// readLine returns the next line without its line ending.
func (r *eventReader) readLine() (string, error) {
	var line []byte
	for {
		part, err := r.reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return strings.TrimRight(string(line), "\r\n"), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return "", err
		case len(line) > maxEventBytes:
			return "", errEventTooLarge
		}
	}
}
