package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/bound"
)

const (
	fetchTimeout = 5 * time.Second
	// maxDocumentBytes bounds a document. The status of an instance grows with the instances and the engines that it knows.
	maxDocumentBytes = 16 << 20
)

// apiKeyVariable is the environment variable with the API key of the client account. A flag would show the key in
// process lists.
const apiKeyVariable = "DRAGONFLYPOND_API_KEY"

// fetchJSON reads one JSON document from an entry instance.
func fetchJSON(ctx context.Context, address, path string, document any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	if key := os.Getenv(apiKeyVariable); key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	transport := bound.NewTransport(nil)
	transport.Proxy = http.ProxyFromEnvironment
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return errors.Wrap(err, "send request to instance")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := bound.ReadAll(response.Body, maxDocumentBytes)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("instance returned status %s: %s", response.Status, body)
	}
	return errors.Wrap(json.Unmarshal(body, document), "decode response")
}

func printJSON(out io.Writer, document any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(document), "print")
}

func printError(command string, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", command, err)
}
