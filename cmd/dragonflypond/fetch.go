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
)

const fetchTimeout = 5 * time.Second

// apiKeyVariable holds the key of the client account, so that it does not appear in process lists.
const apiKeyVariable = "DRAGONFLYPOND_API_KEY"

// fetchJSON reads one JSON document of an entry instance.
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
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask instance")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("instance answered %s: %s", response.Status, body)
	}
	return errors.Wrap(json.Unmarshal(body, document), "decode answer")
}

func printJSON(out io.Writer, document any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(document), "print")
}

func printError(command string, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", command, err)
}
