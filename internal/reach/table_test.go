package reach

import (
	"testing"
	"time"
)

// TestDoubt guards against an instance that takes the failure of one server for its own, and against one that does not
// notice that all servers fail it.
func TestDoubt(t *testing.T) {
	base := time.Unix(1000, 0)
	at := func(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }
	type step struct {
		address string // of a failed connection; empty for a server that was reached
		begun   int
	}
	tests := []struct {
		name  string
		steps []step
		now   int
		want  bool
	}{
		{"nothing yet", nil, 0, false},
		{"one server, many times", []step{{"a", 1}, {"a", 2}, {"a", 3}}, 10, false},
		{"two servers", []step{{"a", 1}, {"b", 2}}, 10, true},
		{"another one reached meanwhile", []step{{"a", 1}, {"", 2}, {"b", 3}}, 10, false},
		{"reached later", []step{{"a", 1}, {"b", 2}, {"", 3}}, 10, false},
		{"an old connection goes on", []step{{"a", 2}, {"b", 3}, {"", 1}}, int(evidenceAge.Milliseconds()) + 10, true},
		{"one was reached a moment ago", []step{{"", 1}, {"a", 2}, {"b", 3}}, 10, false},
		{"a failure that began before", []step{{"", 5}, {"a", 1}, {"b", 2}}, 10, false},
		{"long ago", []step{{"a", 1}, {"b", 2}}, int(failureMemory.Milliseconds()) + 10, false},
	}
	for _, test := range tests {
		table := NewTable()
		for _, s := range test.steps {
			if s.address == "" {
				table.Reached("c", at(s.begun))
			} else {
				table.Failed(s.address, at(s.begun))
			}
		}
		if got := table.Doubtful(at(test.now)); got != test.want {
			t.Errorf("%s: doubtful %t, want %t", test.name, got, test.want)
		}
	}
}

// TestProbeShowsServersDown guards against servers that stay in doubt after a probe has reached another one, against helpers that are asked
// about them again, and against servers that are taken for down because the ways of the instance have come back.
func TestProbeShowsServersDown(t *testing.T) {
	base := time.Unix(1000, 0)
	tests := []struct {
		name   string
		before time.Duration // from the failure to the probe
		helped bool          // a helper reaches the server
		want   bool
	}{
		{"just before", sameTime / 2, false, true},
		{"long before", 2 * sameTime, false, false},
		{"after the probe began", -time.Millisecond, false, false},
		{"a helper reaches it", sameTime / 2, true, false},
	}
	for _, test := range tests {
		table, failedAt := NewTable(), base.Add(-test.before)
		table.Failed("a", failedAt)
		if test.helped {
			table.Tunneled("a", failedAt, failedAt)
		}
		now := base.Add(probeHold)
		table.ProbeReached("b", base, now)
		if got := table.IsDown("a", now); got != test.want {
			t.Errorf("%s: down %t, want %t", test.name, got, test.want)
		}
		if table.IsDown("a", now.Add(downTime)) {
			t.Errorf("%s: down for longer than %v", test.name, downTime)
		}
	}
}
