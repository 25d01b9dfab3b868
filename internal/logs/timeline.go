package logs

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds a line of a log file.
const maxLineBytes = 1 << 20

// ErrNoLines is returned if no line of a request was found.
var ErrNoLines = errors.New("no line names this request")

// Line is one decoded line of a log.
type Line struct {
	at     time.Time
	source string
	fields map[string]any
}

// At returns the time of the line according to the clock of the instance that wrote it.
func (l Line) At() time.Time { return l.at }

// Field returns a field as text, or "".
func (l Line) Field(name string) string {
	if value, ok := l.fields[name]; ok {
		return fmt.Sprint(value)
	}
	return ""
}

// ParseLine decodes one line. Text before the first brace, such as a prefix added by a log collector, is kept as its
// source.
func ParseLine(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, errors.New("the line holds no JSON object")
	}
	line := Line{source: strings.TrimSpace(string(text[:start]))}
	if err := json.Unmarshal(text[start:], &line.fields); err != nil {
		return Line{}, errors.Wrap(err, "decode a log line")
	}
	at, err := time.Parse(time.RFC3339Nano, line.Field("time"))
	if err != nil {
		return Line{}, errors.Wrap(err, "decode the time of a log line")
	}
	line.at = at
	return line, nil
}

// Timeline collects the log lines of one request.
type Timeline struct {
	request   string
	lines     []Line
	malformed int
}

// NewTimeline returns a timeline of a request that holds no lines yet.
func NewTimeline(request string) *Timeline { return &Timeline{request: request} }

// Malformed returns the number of lines that contain the ID of the request but cannot be decoded.
func (t *Timeline) Malformed() int { return t.malformed }

// Read adds the lines of the request from a log. name is the source of lines that have no prefix.
func (t *Timeline) Read(log io.Reader, name string) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), []byte(t.request)) {
			continue
		}
		line, err := ParseLine(scanner.Bytes())
		if err != nil {
			t.malformed++
			continue
		}
		if line.Field(Request) != t.request {
			continue
		}
		if line.source == "" {
			line.source = name
		}
		t.lines = append(t.lines, line)
	}
	return errors.Wrapf(scanner.Err(), "read log %s", name)
}

// Write prints the lines in time order, each with the time since the first. It returns ErrNoLines if there are none.
func (t *Timeline) Write(out io.Writer) error {
	if len(t.lines) == 0 {
		return ErrNoLines
	}
	slices.SortStableFunc(t.lines, func(a, b Line) int { return a.at.Compare(b.at) })
	for _, line := range t.lines {
		if _, err := fmt.Fprintf(out, "%9.3f s  %-16s %s\n", line.at.Sub(t.lines[0].at).Seconds(), line.Field(Event), line.details()); err != nil {
			return errors.Wrap(err, "write the story")
		}
	}
	return nil
}

// details returns the source and the fields, without those that Write prints itself or that add nothing.
func (l Line) details() string {
	hidden := []string{Event, Request, "level", "msg", "time"}
	parts := []string{l.source}
	for _, name := range slices.SortedFunc(maps.Keys(l.fields), cmp.Compare[string]) {
		if !slices.Contains(hidden, name) && l.Field(name) != "" {
			parts = append(parts, name+"="+l.Field(name))
		}
	}
	return strings.Join(parts, " ")
}
