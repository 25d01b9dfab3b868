package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// maxStateBytes bounds an engine's answer.
const maxStateBytes = 64 << 10

// HTTPEngines implements Engines with the engine protocol. Each request has its own connection, so that net/http cannot
// repeat an order after the check that precedes it.
type HTTPEngines struct {
	client *http.Client
}

// NewHTTPEngines returns a client for all engines.
func NewHTTPEngines() *HTTPEngines {
	dialer := &net.Dialer{Timeout: engineTimeout}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: checkedDial(dialer)}
	return &HTTPEngines{client: &http.Client{Transport: transport}}
}

// checkKey is the context key of the check before a send.
type checkKey struct{}

// checkedDial runs the check of the request after its connection stands, which is directly before the request is
// written.
func checkedDial(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
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

// State implements Engines.
func (h *HTTPEngines) State(ctx context.Context, engine spec.Backend) (Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+engine.Address()+"/v1/state", http.NoBody)
	if err != nil {
		return Report{}, errors.Wrap(err, "build state request")
	}
	response, err := h.client.Do(req)
	if err != nil {
		return Report{}, errors.Wrap(err, "read engine state")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Report{}, errors.Errorf("read engine state: status %d", response.StatusCode)
	}
	var report Report
	err = json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&report)
	return report, errors.Wrap(err, "decode engine state")
}

// Order implements Engines.
func (h *HTTPEngines) Order(ctx context.Context, engine spec.Backend, order Order, check func() error) error {
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
	response, err := h.client.Do(req)
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
