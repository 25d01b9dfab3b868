package pond

import (
	"strings"

	"github.com/pkg/errors"
)

//go:generate go tool enumer -type=Mechanism -trimprefix=Mechanism -transform=title-lower -output=mechanism_enumer.go

// Mechanism is a part of the decisions that can be switched off, to measure what it is worth.
type Mechanism int

// Mechanisms, in the order in which a request meets them.
const (
	// MechanismRegionBalance runs requests in another region before the engines of their own one are full.
	MechanismRegionBalance Mechanism = iota
	// MechanismForecast admits requests by a forecast of memory instead of the number of running requests.
	MechanismForecast
	// MechanismLearnedLengths predicts outputs by those that have ended instead of by a constant.
	MechanismLearnedLengths
	// MechanismPredictedRefusal refuses requests at once that are predicted to wait too long.
	MechanismPredictedRefusal
	// MechanismShortQueue lets short requests pass long ones in the queue.
	MechanismShortQueue
	// MechanismShortShare reserves memory for short requests.
	MechanismShortShare
	// MechanismAccountShares serves accounts by their weights instead of in the order of arrival.
	MechanismAccountShares
	// MechanismAging lets long requests of starved accounts pass short ones and holds an engine for them.
	MechanismAging
	// MechanismPrefillLoad counts prompts that an engine has not read as load.
	MechanismPrefillLoad
	// MechanismUrgency lets engines with many prompts to read begin with those of short requests.
	MechanismUrgency
	// MechanismSlowEngines keeps long requests off engines with a high baseline gap.
	MechanismSlowEngines
	// MechanismStragglers avoids engines that are slow or fail for a moment.
	MechanismStragglers
	// MechanismPrefixAffinity prefers the engine that last got the prompt's prefix.
	MechanismPrefixAffinity
	// MechanismMoves moves runs off engines that leave.
	MechanismMoves
	// MechanismMoveOrder moves the runs first that lose most, instead of the oldest.
	MechanismMoveOrder
	// MechanismNearTargets prefers targets of moves in the same data centre.
	MechanismNearTargets
	// MechanismRebalancing moves long runs off slow engines that stay.
	MechanismRebalancing
	// MechanismEngineChecks asks engines themselves when the store or an engine fails.
	MechanismEngineChecks
	// MechanismEndChecks asks whether a backend server still runs after a close-delimited response has ended.
	MechanismEndChecks
	// MechanismRestarts runs resumable streams again after their engine failed.
	MechanismRestarts
	// MechanismTunnels connects to backend servers through another instance if this one does not reach them.
	MechanismTunnels
	// MechanismPermits keeps the requests of all instances within the limits and the room of backend servers.
	MechanismPermits
	// MechanismColdLimits keeps the requests of all instances to a cold backend server within its limit.
	MechanismColdLimits
	// MechanismEvacuations sends nothing to backend servers in an evacuated data centre.
	MechanismEvacuations
	// MechanismBackoffs sends nothing to a backend server that has asked for a back-off.
	MechanismBackoffs
	// MechanismHazards compares the prompts under which engines crash.
	MechanismHazards
)

// MechanismSet is a set of mechanisms.
type MechanismSet uint64

// Has reports whether the set holds a mechanism.
func (s MechanismSet) Has(m Mechanism) bool { return s&(1<<uint(m)) != 0 }

// ParseMechanisms returns the set of the mechanisms named in a list separated by commas.
func ParseMechanisms(list string) (MechanismSet, error) {
	var set MechanismSet
	for name := range strings.SplitSeq(list, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		mechanism, err := MechanismString(name)
		if err != nil {
			return 0, errors.Errorf("no mechanism is named %q; allowed: %s", name, strings.Join(MechanismStrings(), ", "))
		}
		set |= 1 << uint(mechanism)
	}
	return set, nil
}
