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
	// Resume attaches to a running or finished generation from the event with the given offset on. The engine ends
	// an earlier reader of the same generation.
	Resume(ctx context.Context, address, generation string, offset int) (Events, error)
}

// Canceler cancels generations.
type Canceler interface {
	// Cancel ends a generation. An engine that does not know the generation is no error.
	Cancel(ctx context.Context, address, generation string) error
}

// Client speaks the engine protocol. It implements Runner and Canceler and is safe for concurrent use.
type Client struct {
	transport *Transport
}

// NewClient returns a client.
func NewClient(transport *Transport) *Client { return &Client{transport: transport} }

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
	return c.open(req)
}

// Resume implements Runner.
func (c *Client) Resume(ctx context.Context, address, generation string, offset int) (Events, error) {
	target := generationURL(address, generation) + "?offset=" + strconv.Itoa(offset)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	return c.open(req)
}

// Cancel implements Canceler.
func (c *Client) Cancel(ctx context.Context, address, generation string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, generationURL(address, generation), nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	resp, err := c.transport.Do(req)
	var failure *Error
	if errors.As(err, &failure) && failure.Gone() {
		return nil
	}
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (c *Client) open(req *http.Request) (Events, error) {
	req.Header.Set("Accept", "text/event-stream")
	resp, err := c.transport.Do(req)
	if err != nil {
		return nil, err
	}
	return newEventReader(resp.Body), nil
}

func generationURL(address, generation string) string {
	return "http://" + address + "/v1/generations/" + url.PathEscape(generation)
}
