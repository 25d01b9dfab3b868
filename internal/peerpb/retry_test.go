package peerpb

import (
	"testing"
	"time"
)

// TestRetry guards against a retry time that is shifted by the difference of two instances' clocks, and against one
// that is lost or added between them.
func TestRetry(t *testing.T) {
	sender := time.Unix(1000, 0)
	receiver := sender.Add(-time.Hour)
	tests := []struct {
		name string
		at   time.Time
		want time.Time
	}{
		{name: "no retry time", at: time.Time{}, want: time.Time{}},
		{name: "later", at: sender.Add(3 * time.Second), want: receiver.Add(3 * time.Second)},
		{name: "past", at: sender.Add(-time.Second), want: receiver.Add(time.Millisecond)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := RetryAt(RetryAfter(test.at, sender), receiver); !got.Equal(test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
