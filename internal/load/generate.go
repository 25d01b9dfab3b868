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

// answerState is the state of one answer across all its connections.
type answerState struct {
	checker   *fakes.TokenChecker
	cursor    string
	address   string
	lastToken time.Duration
	ended     bool
}

// sendGeneration requests one generation and reads it to its end, over as many connections as that takes.
func (c *caller) sendGeneration(ctx context.Context, o *outcome) {
	state := &answerState{checker: fakes.NewTokenChecker(o.arrival.Prompt())}
	for !state.ended {
		if !c.connectAndRead(ctx, o, state) {
			break
		}
	}
	o.tokens = state.checker.Tokens()
	if o.complete && o.tokens != o.arrival.Length {
		o.complete = false
		o.violation = "the answer ended before its last token"
	}
	if !o.complete && ctx.Err() != nil {
		o.failure = reasonTimeout
	}
}

// connectAndRead opens one connection for the answer and reads its events. It reports false if the caller gives up.
func (c *caller) connectAndRead(ctx context.Context, o *outcome, state *answerState) bool {
	entries := c.entryCaches[o.arrival.Account]
	state.address, _ = entries.pick(ctx, state.address)
	req, err := c.generationRequest(ctx, o, state)
	if err != nil {
		return false
	}
	resp, err := c.client.Do(req)
	if err != nil {
		entries.invalidate()
		return c.waitToReconnect(ctx, o)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return c.waitToRetry(ctx, o, readProblem(resp))
	}
	if c.readEvents(o, state, resp.Body) {
		return true
	}
	return c.waitToReconnect(ctx, o)
}

func (c *caller) generationRequest(ctx context.Context, o *outcome, state *answerState) (*http.Request, error) {
	if state.cursor != "" {
		req, err := c.newRequest(ctx, o, http.MethodGet, state.address, "/v1/streams")
		if err != nil {
			return nil, err
		}
		req.Header.Set("Last-Event-ID", state.cursor)
		return req, nil
	}
	body, err := json.Marshal(generationBody{Model: c.target.Model, Prompt: o.arrival.Prompt(), Stream: true})
	if err != nil {
		return nil, err
	}
	req, err := c.newRequest(ctx, o, http.MethodPost, state.address, "/v1/completions")
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

// readEvents reads events until the connection ends. It reports false if the caller must pause before it reconnects.
func (c *caller) readEvents(o *outcome, state *answerState, body io.Reader) bool {
	events := eventReader{reader: bufio.NewReader(body), lastID: state.cursor}
	defer func() { state.cursor = events.lastID }()
	for {
		e, err := events.next()
		if err != nil {
			return false
		}
		switch e.name {
		case "done":
			o.complete, state.ended = true, true
			return true
		case "move":
			o.resumes++
			return o.resumes <= maxResumes
		case "error":
			var p problem
			_ = json.Unmarshal([]byte(e.data), &p)
			o.failure, state.ended = p.Reason, true
			return true
		default:
			if !c.recordTokens(o, state, e.data) {
				state.ended = true
				return true
			}
		}
	}
}

// recordTokens checks and records one token event. It reports false if the answer violates the token order.
func (c *caller) recordTokens(o *outcome, state *answerState, data string) bool {
	var ch chunk
	if err := json.Unmarshal([]byte(data), &ch); err != nil {
		o.violation = "an event is not valid JSON"
		return false
	}
	for _, choice := range ch.Choices {
		before := state.checker.Tokens()
		if err := state.checker.Add(choice.Text); err != nil {
			o.violation = err.Error()
			return false
		}
		if state.checker.Tokens() == before {
			continue
		}
		now := c.elapsed()
		if before == 0 {
			o.firstToken = now
		} else {
			c.recorder.addTokenGap(now - state.lastToken)
		}
		state.lastToken = now
	}
	return true
}
