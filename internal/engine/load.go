package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/pkg/errors"
)

// maxLoadReportBytes bounds the size of a load report.
const maxLoadReportBytes = 1 << 20

// Load is the load report of an engine. It lags behind the state of the engine.
type Load struct {
	State        string `json:"state"`
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	MemoryTokens int    `json:"memoryTokens"`
	UsedTokens   int    `json:"usedTokens"`
	Preemptions  int64  `json:"preemptions"`
	// Unread lists the generations that have no reader.
	Unread []string `json:"unread"`
}

// ReaderChecker tells whether a generation has a reader.
type ReaderChecker interface {
	// Unread reports whether the engine's load report lists the generation as one without a reader.
	Unread(ctx context.Context, address, generation string) (bool, error)
}

// Unread implements ReaderChecker.
func (c *Client) Unread(ctx context.Context, address, generation string) (bool, error) {
	load, err := c.Load(ctx, address)
	return slices.Contains(load.Unread, generation), err
}

// Load returns the engine's load report. Fields that are not part of Load are ignored.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return load, errors.Wrap(err, "create request")
	}
	resp, err := c.control.Do(req)
	if err != nil {
		return load, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxLoadReportBytes)).Decode(&load)
	return load, errors.Wrap(err, "decode load report")
}
