package watch

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// platformTimeout bounds a read; for a long poll it is added to the poll timeout.
	platformTimeout = 2 * time.Second
	maxListBytes    = 4 << 20
	dialTimeout     = time.Second
	// With these keep-alive settings a long poll to an unreachable host fails after about eight seconds instead of at
	// the end of the poll.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	revisionHeader    = "X-Revision"
)

// platformClient is the HTTP client of the configuration service and of the instance list.
type platformClient struct {
	service string
	list    string
	client  *http.Client
}

func newPlatformClient(options Options) *platformClient {
	return &platformClient{
		service: strings.TrimSuffix(options.ServiceURL, "/"),
		list:    strings.TrimSuffix(options.ListURL, "/"),
		client:  options.Client,
	}
}

// newHTTPClient returns an HTTP client that detects an unreachable service while a long poll is pending.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
}

// readManifest performs a Read. A response with status 204 or 304 means that there is no later revision.
func (p *platformClient) readManifest(ctx context.Context, read Read) ReadResult {
	query := url.Values{}
	if read.After > 0 {
		query.Set("after", strconv.FormatUint(read.After, 10))
	}
	if read.Wait > 0 {
		query.Set("wait", read.Wait.String())
	}
	ctx, cancel := context.WithTimeout(ctx, read.Wait+platformTimeout)
	defer cancel()
	body, header, err := p.get(ctx, p.service+"/v1/manifest?"+query.Encode(), maxBodyBytes)
	if err != nil {
		return ReadResult{Err: err}
	}
	revision, err := strconv.ParseUint(header.Get(revisionHeader), 10, 64)
	if body == nil {
		return ReadResult{Revision: revision}
	}
	if err != nil {
		return ReadResult{Err: errors.Wrap(err, "manifest response has no valid "+revisionHeader)}
	}
	manifest, err := spec.Decode(body, revision)
	if err != nil {
		return ReadResult{Revision: revision, Invalid: err}
	}
	return ReadResult{Revision: revision, Manifest: manifest}
}

// listEntry is an entry of the instance list.
type listEntry struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"`
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	DataCentre  string `json:"dataCentre"`
	State       string `json:"state"`
}

const (
	kindInstance = "instance"
	stateLive    = "live"
)

func (p *platformClient) readList(ctx context.Context) ([]listEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	body, _, err := p.get(ctx, p.list+"/v1/instances", maxListBytes)
	if err != nil {
		return nil, err
	}
	var entries []listEntry
	return entries, errors.Wrap(json.Unmarshal(body, &entries), "decode instance list")
}

// get returns the body of a response with status 200, or a nil body for 204 and 304.
func (p *platformClient) get(ctx context.Context, address string, limit int64) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read platform")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read platform")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNoContent, http.StatusNotModified:
		return nil, resp.Header, nil
	case http.StatusOK:
	default:
		return nil, nil, errors.Errorf("read platform: status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, nil, errors.Wrap(err, "read platform")
	}
	if int64(len(body)) > limit {
		return nil, nil, errors.Errorf("read platform: response exceeds %d bytes", limit)
	}
	return body, resp.Header, nil
}
