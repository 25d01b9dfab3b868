package fakes

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against a link that forwards bytes while it is down, or that stays down after the fault was cleared.
func TestLink(t *testing.T) {
	service := NewService("s")
	server, err := Serve("127.0.0.1:0", service)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	link, err := NewLink("127.0.0.1:0", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	tests := []struct {
		name  string
		fault FaultKind
		ok    bool
	}{
		{name: "whole", fault: FaultNone, ok: true},
		{name: "cut", fault: FaultDown, ok: false},
		{name: "whole again", fault: FaultNone, ok: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := link.Inject(Fault{Kind: test.fault}); err != nil {
				t.Fatal(err)
			}
			resp, err := http.Post("http://"+link.Address()+"/charges/1", "application/json", strings.NewReader("{}"))
			if (err == nil) != test.ok {
				t.Fatalf("error %v, want success %t", err, test.ok)
			}
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
