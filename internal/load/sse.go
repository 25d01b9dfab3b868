package load

import (
	"bufio"
	"strings"
)

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
	id := r.lastID
	for {
		line, err := r.reader.ReadString('\n')
		if err != nil {
			return event{}, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			r.lastID = id
			if e.data != "" {
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
			e.data += value
		}
	}
}
