package grant

import (
	"strconv"
	"testing"
	"time"
)

// TestProgressPause guards against progress reports that exceed the bytes for control when many requests run, and
// against a home that hears nothing for longer than the bound.
func TestProgressPause(t *testing.T) {
	tests := []struct {
		running int
		want    time.Duration
	}{
		{running: 0, want: idleInterval},
		{running: 4, want: 100 * time.Millisecond},
		{running: 40, want: time.Second},
		{running: 80, want: 2 * time.Second},
		{running: 5000, want: maxProgressPause},
	}
	for _, test := range tests {
		t.Run(strconv.Itoa(test.running), func(t *testing.T) {
			p := &Placer{tickets: make(map[string]*ticket)}
			for i := range test.running {
				p.tickets[strconv.Itoa(i)] = &ticket{state: ticketRunning, holder: new(link)}
			}
			p.tickets["local"] = &ticket{state: ticketRunning, holder: localHolder{}}
			if got := p.progressPause(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
