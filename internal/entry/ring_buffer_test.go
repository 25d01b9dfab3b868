package entry

import (
	"slices"
	"testing"
)

// TestRingBuffer guards against a buffer that loses the newest values or their order.
func TestRingBuffer(t *testing.T) {
	tests := []struct {
		name  string
		added []int
		want  []int
	}{
		{name: "empty", added: nil, want: []int{}},
		{name: "not full", added: []int{1, 2}, want: []int{1, 2}},
		{name: "full", added: []int{1, 2, 3}, want: []int{1, 2, 3}},
		{name: "overwritten", added: []int{1, 2, 3, 4, 5}, want: []int{3, 4, 5}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRingBuffer[int](3)
			for _, value := range test.added {
				r.add(value)
			}
			if got := r.snapshot(); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
