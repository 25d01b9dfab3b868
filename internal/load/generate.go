package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// generationBody is the body of POST /v1/completions.
type generationBody struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Stream bool   `json:"stream"`
}

// chunk is the data of a token event.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// reading is the state of one answer over all its connections.
type reading struct {
	checker *fakes.Checker
	cursor  string
	address string
	last    time.Duration
	ended   bool
}

// generate reads one generation to its end, over as many connections as that takes.
func (c *caller) generate(ctx context.Context, o *outcome) {
	r := &reading{checker: fakes.NewChecker(o.arrival.Prompt())}
	for !r.ended {
		if !c.connect(ctx, o, r) {
			break
		}
	}
	o.tokens = r.checker.Tokens()
	if o.whole && o.tokens != o.arrival.Length {
		o.whole = false
		o.violation = "the answer ended before its last token"
	}
	if !o.whole && ctx.Err() != nil {
		o.failure = gaveUpTimeout
	}
}

// connect opens one connection for the answer and reads what it gives. It reports false if the caller gives up.
func (c *caller) connect(ctx context.Context, o *outcome, r *reading) bool {
	directory := c.directories[o.arrival.Account]
	r.address, _ = directory.pick(ctx, r.address)
	req, err := c.generationRequest(ctx, o, r)
	if err != nil {
		return false
	}
	resp, err := c.client.Do(req)
	if err != nil {
		directory.expire()
		return c.reconnect(ctx, o)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return c.retry(ctx, o, readProblem(resp))
	}
	if c.read(o, r, resp.Body) {
		return true
	}
	return c.reconnect(ctx, o)
}

func (c *caller) generationRequest(ctx context.Context, o *outcome, r *reading) (*http.Request, error) {
	if r.cursor != "" {
		req, err := c.request(ctx, o, http.MethodGet, r.address, "/v1/streams")
		if err != nil {
			return nil, err
		}
		req.Header.Set("Last-Event-ID", r.cursor)
		return req, nil
	}
	body, err := json.Marshal(generationBody{Model: c.target.Model, Prompt: o.arrival.Prompt(), Stream: true})
	if err != nil {
		return nil, err
	}
	req, err := c.request(ctx, o, http.MethodPost, r.address, "/v1/completions")
	if err != nil {
		return nil, err
	}
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	if o.arrival.Class != pond.ClassUnknown {
		req.Header.Set("X-Class", o.arrival.Class.String())
	}
	return req, nil
}

// read reads events until the connection ends. It reports false if the answer must be continued after a pause.
func (c *caller) read(o *outcome, r *reading, body io.Reader) bool {
	events := eventReader{reader: bufio.NewReader(body), lastID: r.cursor}
	defer func() { r.cursor = events.lastID }()
	for {
		e, err := events.next()
		if err != nil {
			return false
		}
		switch e.name {
		case "done":
			o.whole, r.ended = true, true
			return true
		case "move":
			o.resumes++
			return o.resumes <= maxResumes
		case "error":
			var p problem
			_ = json.Unmarshal([]byte(e.data), &p)
			o.failure, r.ended = p.Reason, true
			return true
		default:
			if !c.token(o, r, e.data) {
				r.ended = true
				return true
			}
		}
	}
}

// token checks and records one token event. It reports false if the answer is broken.
func (c *caller) token(o *outcome, r *reading, data string) bool {
	var ch chunk
	if err := json.Unmarshal([]byte(data), &ch); err != nil {
		o.violation = "an event is not valid JSON"
		return false
	}
	for _, choice := range ch.Choices {
		before := r.checker.Tokens()
		if err := r.checker.Add(choice.Text); err != nil {
			o.violation = err.Error()
			return false
		}
		if r.checker.Tokens() == before {
			continue
		}
		now := c.since()
		if before == 0 {
			o.firstToken = now
		} else {
			c.recorder.gap(now - r.last)
		}
		r.last = now
	}
	return true
}
