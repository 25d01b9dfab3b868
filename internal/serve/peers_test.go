package serve

import (
	"testing"

	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestReleaseChange guards against an upgrade that leaves no line, and against a line for each instance at each start.
func TestReleaseChange(t *testing.T) {
	own, former := member.Release{Number: peerpb.Release, Heard: true}, member.Release{Number: peerpb.OldestRelease, Heard: true}
	unsteady := member.Release{Number: peerpb.OldestRelease, Heard: true, Unsteady: true}
	known := func(r member.Release) map[pond.InstanceID]member.Release {
		return map[pond.InstanceID]member.Release{"a": r}
	}
	tests := []struct {
		name       string
		previous   map[pond.InstanceID]member.Release
		current    member.Release
		wantFormer uint32
		want       bool
	}{
		{"new, of this release", nil, own, peerpb.Release, false},
		{"new, of a former release", nil, former, peerpb.Release, true},
		{"the same as before", known(former), former, peerpb.OldestRelease, false},
		{"upgrade", known(former), own, peerpb.OldestRelease, true},
		{"back", known(own), former, peerpb.Release, true},
		{"unsteady", known(own), unsteady, peerpb.Release, true},
		{"still unsteady", known(unsteady), unsteady, peerpb.OldestRelease, false},
		{"unsteady, the number is the same", known(former), unsteady, peerpb.OldestRelease, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got, changed := releaseChange(test.previous, "a", test.current); got != test.wantFormer || changed != test.want {
				t.Errorf("got %d and %v, want %d and %v", got, changed, test.wantFormer, test.want)
			}
		})
	}
}
