package grant

import (
	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// RendezvousRank orders instances as package member does. Instances that are leaving are left out.
func RendezvousRank(key string, instances []pond.Instance) []pond.Instance {
	return member.Rank(candidates(instances), key)
}

// candidates is a directory of the given instances.
type candidates []pond.Instance

func (c candidates) Self() pond.Instance { return pond.Instance{} }

func (c candidates) Instances() []pond.Instance { return c }
