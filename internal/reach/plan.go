package reach

//go:generate go tool enumer -type=Plan -trimprefix=Plan -transform=title-lower -output=plan_enumer.go

// Plan tells how to connect to a backend server.
type Plan int

// Plans.
const (
	// PlanDirect connects directly, and through a helper if that fails or takes long.
	PlanDirect Plan = iota
	// PlanDirectOnly connects directly, because helpers fail at the server as well.
	PlanDirectOnly
	// PlanTunnel connects through a helper.
	PlanTunnel
	// PlanNone fails at once, because neither this instance nor its helpers reach any server.
	PlanNone
)
