package watch

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/member"
)

// TestOddListEntry guards against one entry of the instance list that cannot be read and keeps an instance from all others, and against one
// that becomes a seed although nothing can be sent there.
func TestOddListEntry(t *testing.T) {
	const sound = `{"name":"engine-1","kind":"engine","address":"10.0.0.1:80","state":"live"},
		{"name":"entry-1","kind":"instance","peerAddress":"10.0.0.2:90","state":"live"}`
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	tests := []struct {
		name, entry string
		state       member.BackendState // of the backend server "odd"; BackendUnknown if it is not named
	}{
		{"a number for a state", `{"name":"odd","kind":"engine","address":"10.0.0.3:80","state":7}`, member.BackendLeaving},
		{"a number too large", `{"name":"odd","kind":"engine","address":1e400}`, member.BackendLeaving},
		{"nested deeply", `{"name":"odd","kind":"engine","state":` + deep + `}`, member.BackendUnknown},
		{"nested deeply, no object", deep, member.BackendUnknown},
		{"no object", `7`, member.BackendUnknown},
		{"nothing", `null`, member.BackendUnknown},
		{"no name", `{"kind":"engine","state":"live"}`, member.BackendUnknown},
		{"a seed with a port out of range", `{"name":"x","kind":"instance","peerAddress":"10.0.0.3:99999"}`, member.BackendUnknown},
		{"a seed without a port", `{"name":"x","kind":"instance","peerAddress":"10.0.0.3"}`, member.BackendUnknown},
		{"a seed on port 0", `{"name":"x","kind":"instance","peerAddress":"10.0.0.3:0"}`, member.BackendUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "["+test.entry+","+sound+"]")
			}))
			defer server.Close()
			log := logrus.New()
			log.SetOutput(io.Discard)
			client := newPlatformClient(Options{ListURL: server.URL, Client: http.DefaultClient, Logger: log})
			entries, err := client.readList(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			seeds, backends := splitList(entries)
			if len(seeds) != 1 || seeds[0] != "10.0.0.2:90" {
				t.Errorf("seeds %q", seeds)
			}
			if backends["engine-1"] != member.BackendAccepting || backends["odd"] != test.state {
				t.Errorf("states %v", backends)
			}
			if _, named := backends[""]; named {
				t.Error("a backend server without a name is listed")
			}
		})
	}
}

// TestInvalidList guards against a list that is cut short and taken for a whole one: what it lacks would count as gone.
func TestInvalidList(t *testing.T) {
	for _, body := range []string{``, `{}`, `[{"name":"a"}`, `[{"name":"a"},`, `[{"name":"a"}]x`, `null`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		client := newPlatformClient(Options{ListURL: server.URL, Client: http.DefaultClient, Logger: logrus.New()})
		if entries, err := client.readList(t.Context()); err == nil {
			t.Errorf("%q was read as %+v", body, entries)
		}
		server.Close()
	}
}
