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

// Story collects the log lines of one request.
type Story struct {
	request   string
	lines     []Line
	malformed int
}

// NewStory returns a story of a request that holds no lines yet.
func NewStory(request string) *Story { return &Story{request: request} }

// Damaged returns the number of lines that contain the ID of the request but cannot be decoded.
func (s *Story) Damaged() int { return s.malformed }

// Read adds the lines of the request from a log. name is the source of lines that have no prefix.
func (s *Story) Read(log io.Reader, name string) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), []byte(s.request)) {
			continue
		}
		line, err := ParseLine(scanner.Bytes())
		if err != nil {
			s.malformed++
			continue
		}
		if line.Field(Request) != s.request {
			continue
		}
		if line.source == "" {
			line.source = name
		}
		s.lines = append(s.lines, line)
	}
	return errors.Wrapf(scanner.Err(), "read log %s", name)
}

// Write prints the lines in time order, each with the time since the first. It returns ErrNoLines if there are none.
func (s *Story) Write(out io.Writer) error {
	if len(s.lines) == 0 {
		return ErrNoLines
	}
	slices.SortStableFunc(s.lines, func(a, b Line) int { return a.at.Compare(b.at) })
	for _, line := range s.lines {
		if _, err := fmt.Fprintf(out, "%9.3f s  %-16s %s\n", line.at.Sub(s.lines[0].at).Seconds(), line.Field(Event), line.details()); err != nil {
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
