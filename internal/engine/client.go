package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
)

// Runner starts and resumes generations.
type Runner interface {
	// Start runs a new generation on the engine at address (IP:PORT). The error is an *Error if the request failed.
	Start(ctx context.Context, address string, generation Generation) (Events, error)
	// Resume reads a running or finished generation, beginning with the token at the given offset. The engine ends
	// the stream of an earlier reader of the same generation.
	Resume(ctx context.Context, address, generation string, offset int) (Events, error)
}

// Canceler cancels generations.
type Canceler interface {
	// Cancel ends a generation. It returns nil if the engine does not know the generation.
	Cancel(ctx context.Context, address, generation string) error
}

// Client is an HTTP client for engines. It implements Runner, Canceler and ReaderChecker and is safe for concurrent
// use.
type Client struct {
	// generations uses each connection once. A connection in use again may hold the refusal of an earlier generation, and a
	// refusal names none.
	generations *Transport
	control     *Transport
}

// NewClient returns a client that connects with the dial function. Nil connects directly.
func NewClient(dial DialFunc) *Client {
	return &Client{generations: NewUnpooledTransport(dial), control: NewTransport(dial)}
}

// Start implements Runner.
func (c *Client) Start(ctx context.Context, address string, generation Generation) (Events, error) {
	body, err := json.Marshal(generation)
	if err != nil {
		return nil, errors.Wrap(err, "encode generation")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/generations", nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	// The body is set without GetBody, so that net/http cannot send it a second time.
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	return c.openStream(req)
}

// Resume implements Runner.
func (c *Client) Resume(ctx context.Context, address, generation string, offset int) (Events, error) {
	target := generationURL(address, generation) + "?offset=" + strconv.Itoa(offset)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	return c.openStream(req)
}

// Cancel implements Canceler.
func (c *Client) Cancel(ctx context.Context, address, generation string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, generationURL(address, generation), nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	resp, err := c.control.Do(req)
	var failure *Error
	if errors.As(err, &failure) && failure.Gone() {
		return nil
	}
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (c *Client) openStream(req *http.Request) (Events, error) {
	req.Header.Set("Accept", "text/event-stream")
	resp, err := c.generations.Do(req)
	if err != nil {
		return nil, err
	}
	return newEventReader(resp.Body), nil
}

func generationURL(address, generation string) string {
	return "http://" + address + "/v1/generations/" + url.PathEscape(generation)
}
