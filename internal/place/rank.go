package place

import (
	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// RendezvousRank orders instances by the rendezvous weights of package member. It omits instances that are leaving.
func RendezvousRank(key string, instances []pond.Instance) []pond.Instance {
	return member.Rank(instanceList(instances), key)
}

// instanceList is a pond.Directory of a fixed list of instances.
type instanceList []pond.Instance

func (l instanceList) Self() pond.Instance { return pond.Instance{} }

func (l instanceList) Instances() []pond.Instance { return l }
