package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/logs"
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
	log     logrus.FieldLogger
}

func newPlatformClient(options Options) *platformClient {
	return &platformClient{
		service: strings.TrimSuffix(options.ServiceURL, "/"),
		list:    strings.TrimSuffix(options.ListURL, "/"),
		client:  options.Client,
		log:     options.Logger,
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
	return &http.Client{Transport: bound.NewTransport(dialer.DialContext)}
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
	elements, err := splitArray(body)
	if err != nil {
		return nil, errors.Wrap(err, "decode instance list")
	}
	entries := make([]listEntry, 0, len(elements))
	for _, element := range elements {
		entry, err := decodeListEntry(element)
		if err != nil {
			p.log.WithError(err).WithField(logs.Event, "listEntryRejected").Warn("an entry of the instance list cannot be used")
			if entry.Name == "" {
				continue
			}
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// decodeListEntry decodes an entry of the instance list. With an error, the entry has at most a name: that of a server which is listed, but
// whose state is not known.
func decodeListEntry(element []byte) (listEntry, error) {
	var entry listEntry
	if err := json.Unmarshal(element, &entry); err != nil {
		var named struct {
			Name string `json:"name"`
		}
		if json.Unmarshal(element, &named) != nil {
			named.Name = ""
		}
		return listEntry{Name: named.Name}, errors.Wrap(err, "decode an entry")
	}
	if entry.Kind != kindInstance {
		if entry.Name == "" {
			return listEntry{}, errors.New("the name is missing")
		}
		return entry, nil
	}
	if entry.PeerAddress == "" {
		return entry, nil
	}
	_, port, err := net.SplitHostPort(entry.PeerAddress)
	if err != nil {
		return listEntry{}, errors.Wrap(err, "peer address")
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return listEntry{}, errors.Errorf("the port of the peer address %q is not between 1 and 65535", entry.PeerAddress)
	}
	return entry, nil
}

// splitArray returns the elements of a JSON array. Unlike json.Unmarshal it accepts elements of any depth, so that one that is nested too
// deeply to be decoded does not hide the others.
func splitArray(body []byte) ([][]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber() // A number that is too large is only its entry's fault.
	if token, err := decoder.Token(); err != nil || token != json.Delim('[') {
		return nil, errors.New("the response is no JSON array")
	}
	var elements [][]byte
	for decoder.More() {
		begin := decoder.InputOffset()
		if err := skipValue(decoder); err != nil {
			return nil, err
		}
		elements = append(elements, bytes.TrimLeft(body[begin:decoder.InputOffset()], ", \t\r\n"))
	}
	if _, err := decoder.Token(); err != nil {
		return nil, errors.Wrap(err, "the array has no end")
	}
	if rest := bytes.TrimSpace(body[decoder.InputOffset():]); len(rest) > 0 {
		return nil, errors.Errorf("%d bytes follow the array", len(rest))
	}
	return elements, nil
}

// skipValue reads the tokens of one value.
func skipValue(decoder *json.Decoder) error {
	for depth := 0; ; {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
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
	body, err := bound.ReadAll(resp.Body, limit)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read platform")
	}
	return body, resp.Header, nil
}
