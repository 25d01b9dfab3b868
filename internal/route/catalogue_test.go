package route

import "testing"

func testCatalogue() *Catalogue {
	return New(Content{
		Version: 7,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Shares: []Share{{Service: "web", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Shares: []Share{{Service: "web", Weight: 90}, {Service: "new", Weight: 10}}},
			{Name: "short", Host: "a.example", Prefix: "/x/", Shares: []Share{{Service: "web", Weight: 1}}},
			{Name: "other", Host: "b.example", Prefix: "/x/", Shares: []Share{{Service: "web", Weight: 1}}},
		},
		Services: []Service{{Name: "web"}, {Name: "new"}},
		Accounts: []Account{{Name: "acme", Keys: []string{"k1", "k2"}, Priority: NoPriority}},
	})
}

// TestMatch guards against routing a request by a shorter prefix or by another host.
func TestMatch(t *testing.T) {
	tests := []struct {
		host, path string
		want       string // "" for no route
	}{
		{"a.example", "/x/y/z", "deep"},
		{"a.example:8080", "/x/y/z", "deep"},
		{"a.example", "/x/z", "short"},
		{"a.example", "/x", "all"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/z", ""},
		{"c.example", "/x/", ""},
	}
	c := testCatalogue()
	for _, test := range tests {
		got := ""
		if r, ok := c.Match(test.host, test.path); ok {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("Match(%q, %q) = %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

// TestServiceFor guards against a traffic split that differs from the published weights.
func TestServiceFor(t *testing.T) {
	r, _ := testCatalogue().Match("a.example", "/x/y/")
	const samples = 1000
	counts := map[string]int{}
	for i := range samples {
		counts[r.ServiceFor(float64(i)/samples)]++
	}
	if counts["web"] != 900 || counts["new"] != 100 {
		t.Errorf("shares %v, want 900 and 100", counts)
	}
}

// TestAccount guards against accepting an unknown key, and against rejecting one of several keys of an account.
func TestAccount(t *testing.T) {
	tests := []struct {
		key  string
		want bool
	}{{"k1", true}, {"k2", true}, {"k3", false}, {"", false}}
	c := testCatalogue()
	for _, test := range tests {
		if _, ok := c.Account(test.key); ok != test.want {
			t.Errorf("Account(%q) found: %v, want %v", test.key, ok, test.want)
		}
	}
}
