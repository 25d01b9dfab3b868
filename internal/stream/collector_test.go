package stream

import (
	"errors"
	"strings"
	"testing"

	"github.com/dragonflypond/dragonflypond/internal/bound"
)

// TestCollectorOfEndlessTokens guards against a generation without an end whose text an instance keeps for a caller that wants it whole.
func TestCollectorOfEndlessTokens(t *testing.T) {
	tests := []struct {
		name   string
		budget int64
		want   error
	}{
		{"alone", 4 * maxCompleteBytes, bound.ErrTooLarge},
		{"without room", maxCompleteBytes / 2, bound.ErrNoRoom},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &collector{holding: bound.NewBudget(test.budget).Open("engines", func() {})}
			text := strings.Repeat("x", 1<<10)
			var err error
			for offset := 0; err == nil && offset < 2*maxCompleteBytes>>10; offset++ {
				err = c.Deliver(Item{Generation: "g", Offset: offset, Text: text})
			}
			if !errors.Is(err, test.want) {
				t.Errorf("error %v after %d bytes, want %v", err, c.text.Len(), test.want)
			}
		})
	}
}
