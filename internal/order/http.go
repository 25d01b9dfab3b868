package order

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// maxStateBytes limits the body of a state response.
const maxStateBytes = 64 << 10

// HTTPEngineClient implements EngineClient with the engine protocol. Each request uses a new connection, so that
// net/http cannot repeat an order without another check.
type HTTPEngineClient struct {
	client *http.Client
}

// NewHTTPEngineClient returns a client for all engines that uses the dial function. Nil connects directly.
func NewHTTPEngineClient(dial engine.DialFunc) *HTTPEngineClient {
	if dial == nil {
		dial = (&net.Dialer{Timeout: engineTimeout}).DialContext
	}
	transport := bound.NewTransport(dialWithCheck(dial))
	transport.DisableKeepAlives = true
	return &HTTPEngineClient{client: &http.Client{Transport: transport}}
}

// checkKey is the context key of the check that precedes a send.
type checkKey struct{}

// dialWithCheck returns a dial function that runs the check of the request once the connection is established, directly
// before the request is written.
func dialWithCheck(dial engine.DialFunc) engine.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		check, ok := ctx.Value(checkKey{}).(func() error)
		if !ok {
			return conn, nil
		}
		if err := check(); err != nil {
			conn.Close()
			return nil, err
		}
		return conn, nil
	}
}

// ReadState implements EngineClient.
func (c *HTTPEngineClient) ReadState(ctx context.Context, engine spec.Backend) (Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+engine.Address()+"/v1/state", http.NoBody)
	if err != nil {
		return Report{}, errors.Wrap(err, "build state request")
	}
	response, err := c.client.Do(req)
	if err != nil {
		return Report{}, errors.Wrap(err, "read engine state")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Report{}, errors.Errorf("read engine state: status %d", response.StatusCode)
	}
	body, err := bound.ReadAll(response.Body, maxStateBytes)
	if err != nil {
		return Report{}, errors.Wrap(err, "read engine state")
	}
	var report Report
	err = json.Unmarshal(body, &report)
	return report, errors.Wrap(err, "decode engine state")
}

// SendOrder implements EngineClient.
func (c *HTTPEngineClient) SendOrder(ctx context.Context, engine spec.Backend, order Order, check func() error) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	ctx = context.WithValue(ctx, checkKey{}, check)
	url := "http://" + engine.Address() + "/v1/orders"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build order")
	}
	req.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusConflict:
		return ErrFenced
	case response.StatusCode >= http.StatusMultipleChoices:
		return errors.Errorf("send order: status %d", response.StatusCode)
	}
	return nil
}
