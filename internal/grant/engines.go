package grant

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

const (
	engineCallTimeout  = 2 * time.Second
	maxReportBytes     = 1 << 20
	maxIdlePerEngine   = 1
	engineIdleLifetime = time.Minute
)

// HTTPEngines implements Engines over the engine protocol. It is safe for concurrent use.
type HTTPEngines struct{ client *http.Client }

// NewHTTPEngines returns a client with its own connections, so that control calls never wait behind generations.
func NewHTTPEngines() *HTTPEngines {
	return &HTTPEngines{client: &http.Client{
		Timeout: engineCallTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdlePerEngine,
			IdleConnTimeout:     engineIdleLifetime,
		},
	}}
}

// Load implements Engines.
func (e *HTTPEngines) Load(ctx context.Context, address string) (LoadReport, error) {
	var report LoadReport
	response, err := e.do(ctx, http.MethodGet, "http://"+address+"/v1/load")
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, errors.Errorf("engine %s answered the load request with status %d", address, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report, errors.Wrapf(err, "decode load report of engine %s", address)
}

// Cancel implements Engines. A generation that the engine does not know counts as cancelled.
func (e *HTTPEngines) Cancel(ctx context.Context, address, generation string) error {
	response, err := e.do(ctx, http.MethodDelete, "http://"+address+"/v1/generations/"+url.PathEscape(generation))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode != http.StatusNotFound {
		return errors.Errorf("engine %s answered a cancel with status %d", address, response.StatusCode)
	}
	return nil
}

func (e *HTTPEngines) do(ctx context.Context, method, address string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build engine request")
	}
	response, err := e.client.Do(request)
	return response, errors.Wrapf(err, "%s engine", method)
}
