package hazard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestOpeningAsksDifferentInstances guards against a start that asks the same instance again, which has ended or knows nothing itself, while others
// that know of crashes are about to end.
func TestOpeningAsksDifferentInstances(t *testing.T) {
	peer := func(id int, incarnation pond.Incarnation, state pond.InstanceState) pond.Instance {
		ref := pond.InstanceRef{ID: pond.InstanceID(fmt.Sprint(id)), Incarnation: incarnation}
		return pond.NewInstance(ref, state, "", "", "", "")
	}
	live, leaving := pond.InstanceLive, pond.InstanceLeaving
	tests := []struct {
		name  string
		peers []pond.Instance
		down  []pond.InstanceRef // do not answer
		turns int
		want  []string // the instances asked
	}{
		{"none", nil, nil, 3, nil},
		{"one that has answered", []pond.Instance{peer(1, 1, live)}, nil, 3, []string{"1"}},
		{"three of four", []pond.Instance{peer(1, 1, live), peer(2, 1, live), peer(3, 1, live), peer(4, 1, live)}, nil, 5, []string{"1", "2", "3"}},
		{"those that shut down first", []pond.Instance{peer(1, 1, live), peer(2, 1, leaving), peer(3, 1, leaving)}, nil, 3, []string{"2", "3", "1"}},
		{
			"one that has ended is asked again after the others",
			[]pond.Instance{peer(1, 1, leaving), peer(2, 1, live)},
			[]pond.InstanceRef{{ID: "1", Incarnation: 1}},
			4, []string{"1", "2", "1", "1"},
		},
		{"two starts of one instance", []pond.Instance{peer(1, 1, leaving), peer(1, 2, live)}, nil, 3, []string{"1", "1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			o := newOpening(now)
			var asked []string
			for range test.turns {
				if o.over(now) {
					break
				}
				p, ok := o.next(test.peers)
				if !ok {
					continue
				}
				asked = append(asked, string(p.ID()))
				if !slices.Contains(test.down, p.Ref()) {
					o.hasAnswered(p)
				}
			}
			if !slices.Equal(asked, test.want) {
				t.Errorf("asked %v, want %v", asked, test.want)
			}
			if !o.over(now.Add(startTime)) {
				t.Errorf("not over after %v", startTime)
			}
		})
	}
}
