package front

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// engineTokens is the length of the generations of a scripted engine.
const engineTokens = 5

// script returns the bytes that an engine sends after its head, from an offset on. Then it ends the connection in order.
type script func(generation string, offset int) string

func tokensOf(generation string, first, end int) string {
	var text strings.Builder
	for offset := first; offset < end; offset++ {
		fmt.Fprintf(&text, "data: {\"generation\":%q,\"offset\":%d,\"text\":\"t%d \"}\n\n", generation, offset, offset)
	}
	return text.String()
}

func doneOf(generation string, tokens int) string {
	return fmt.Sprintf("event: done\ndata: {\"generation\":%q,\"tokens\":%d}\n\n", generation, tokens)
}

const unframedEvents = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

// startScriptedEngine starts an engine whose answers, without a length, follow the scripts in turn, the last one again and again. Nil stands for
// a generation that the engine does not know.
func startScriptedEngine(t *testing.T, scripts ...script) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var mu sync.Mutex
	next := func() script {
		mu.Lock()
		defer mu.Unlock()
		first := scripts[0]
		if len(scripts) > 1 {
			scripts = scripts[1:]
		}
		return first
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				var body struct {
					Generation string `json:"generation"`
				}
				offset := 0
				switch req.Method {
				case http.MethodPost:
					_ = json.NewDecoder(req.Body).Decode(&body)
					_, _ = io.Copy(io.Discard, req.Body)
				case http.MethodGet:
					body.Generation = path.Base(req.URL.Path)
					offset, _ = strconv.Atoi(req.URL.Query().Get("offset"))
				default:
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					return
				}
				answer := next()
				if answer == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
					return
				}
				_, _ = io.WriteString(conn, unframedEvents+answer(body.Generation, offset))
			}()
		}
	}()
	return listener.Addr().String()
}

// TestEngineEndsWithinGeneration guards against a generation of the own interface that looks complete, repeats or lacks tokens because the engine's
// answer, which has no length, ended in order before its last event.
func TestEngineEndsWithinGeneration(t *testing.T) {
	whole := func(g string, offset int) string {
		return tokensOf(g, offset, engineTokens) + doneOf(g, engineTokens)
	}
	cut := func(g string, offset int) string { return tokensOf(g, offset, min(offset+2, engineTokens)) }
	tests := []struct {
		name      string
		scripts   []script
		wantWhole bool
	}{
		{"whole", []script{whole}, true},
		{"ends after whole events, goes on", []script{cut, whole}, true},
		{"ends after whole events each time", []script{cut, cut, cut, whole}, true},
		{"ends after the last token", []script{func(g string, _ int) string { return tokensOf(g, 0, engineTokens) }, whole}, true},
		// The engine has started again and does not know the generation.
		{"ends after whole events, unknown then", []script{cut, nil}, false},
		{"end of another generation", []script{func(g string, offset int) string { return cut(g, offset) + doneOf("other", 2) }, whole}, true},
		{"end that names more tokens", []script{func(g string, offset int) string { return cut(g, offset) + doneOf(g, engineTokens) }, whole}, true},
		{"another answer after the events", []script{func(g string, offset int) string {
			return cut(g, offset) + unframedEvents + tokensOf("other", 0, 2) + doneOf("other", 2)
		}, whole}, true},
		{"goes on later", []script{cut, func(g string, offset int) string {
			return tokensOf(g, offset+1, engineTokens) + doneOf(g, engineTokens)
		}, whole}, true},
		{"goes on from its beginning", []script{cut, func(g string, _ int) string { return whole(g, 0) }}, true},
		{"goes on with another generation", []script{cut, func(_ string, offset int) string { return whole("other", offset) }, whole}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			options := testOptions(t, engineTokens)
			address := startScriptedEngine(t, test.scripts...)
			options.Source = &fixedSource{manifest: testManifest(t, address)}
			options.Placer = pond.PlacerFunc(func(context.Context, pond.PlaceRequest) (pond.Placement, error) {
				return stubPlacement(address), nil
			})
			w := sendRequest(New(options), http.MethodPost, "/v1/completions", `{"model":"letters","prompt":"hello","stream":true}`)
			text, done := "", false
			for _, e := range parseEvents(w.Body.String()) {
				var chunk struct {
					Choices []struct {
						Text string `json:"text"`
					} `json:"choices"`
				}
				_ = json.Unmarshal([]byte(e.data), &chunk) // The final event is no JSON.
				for _, choice := range chunk.Choices {
					text += choice.Text
				}
				done = done || e.event == "done"
			}
			want := "t0 t1 t2 t3 t4 "
			if done != test.wantWhole || !strings.HasPrefix(want, text) || done && text != want {
				t.Errorf("complete %v, want %v, text %q", done, test.wantWhole, text)
			}
		})
	}
}
