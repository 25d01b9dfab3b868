package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/place"
	"github.com/dragonflypond/dragonflypond/internal/sched"
	"github.com/dragonflypond/dragonflypond/internal/watch"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// Status is the state of an instance, as GET /v1/status returns it.
type Status struct {
	Instance  string           `json:"instance"`
	Phase     Phase            `json:"phase"`
	Started   time.Time        `json:"started"`
	Now       time.Time        `json:"now"`
	Manifest  ManifestStatus   `json:"manifest"`
	Instances []InstanceStatus `json:"instances"`
	// Closed lists the backend servers that accept no work, as this instance sees them.
	Closed []string          `json:"closed"`
	Work   WorkStatus        `json:"work"`
	Bytes  MembershipTraffic `json:"bytes"`
	// Pools lists the pools for which this instance has a scheduler. It schedules only those whose home it is.
	Pools []PoolStatus `json:"pools"`
	// Refusals lists the latest refused placements, the oldest first.
	Refusals []RefusalStatus `json:"refusals"`
}

// ManifestStatus describes the manifest in effect and how it was confirmed.
type ManifestStatus struct {
	Number    uint64 `json:"number"`
	Revision  uint64 `json:"revision"`
	Confirmed bool   `json:"confirmed"`
	Phase     string `json:"phase"`
	// Reports counts the faulty manifests received.
	Reports watch.ManifestFaults `json:"reports"`
	// ServiceReads counts reads of the configuration service since the process started.
	ServiceReads uint64 `json:"serviceReads"`
	// ListRead is the time of the last successful read of the instance list; zero for none.
	ListRead time.Time `json:"listRead"`
}

// InstanceStatus describes one instance as this one sees it.
type InstanceStatus struct {
	Instance    string             `json:"instance"`
	State       pond.InstanceState `json:"state"`
	HTTPAddress string             `json:"httpAddress"`
	DataCentre  string             `json:"dataCentre"`
	Region      string             `json:"region"`
}

// WorkStatus counts the work of this instance.
type WorkStatus struct {
	OpenGenerations int `json:"openGenerations"`
	Placements      int `json:"placements"`
	CallRecords     int `json:"callRecords"`
	CallTombstones  int `json:"callTombstones"`
	CallsRunning    int `json:"callsRunning"`
	// AnswerBytes is the memory of the answers that are held until they are complete and written, beyond a small share for each, and
	// AnswersDropped the number of those that were dropped for want of room.
	AnswerBytes    int64  `json:"answerBytes"`
	AnswersDropped uint64 `json:"answersDropped"`
}

// MembershipTraffic counts the bytes of membership datagrams since the start.
type MembershipTraffic struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}

// Status returns the current state.
func (e *Entry) Status() Status {
	members := e.members.Snapshot()
	manifest := e.watch.Snapshot()
	records, tombstones, running := e.executor.Counts()
	answerBytes, answersDropped := e.answers.Usage()
	return Status{
		Instance: e.members.Self().Ref().String(),
		Phase:    e.Phase(),
		Started:  e.started,
		Now:      time.Now(),
		Manifest: ManifestStatus{
			Number:       manifest.Version.Number,
			Revision:     manifest.Version.Revision,
			Confirmed:    manifest.Confirmed,
			Phase:        manifest.Phase.String(),
			Reports:      manifest.Faults,
			ServiceReads: manifest.ServiceReads,
			ListRead:     manifest.ListRead,
		},
		Instances: instanceStatuses(members.Instances),
		Closed:    manifest.ClosedBackends,
		Work: WorkStatus{
			OpenGenerations: e.front.InProgress(),
			Placements:      e.placer.OpenRequests(),
			CallRecords:     records,
			CallTombstones:  tombstones,
			CallsRunning:    running,
			AnswerBytes:     answerBytes,
			AnswersDropped:  answersDropped,
		},
		Bytes:    MembershipTraffic{Sent: members.SentBytes, Received: members.ReceivedBytes},
		Pools:    poolStatuses(e.placer.Pools()),
		Refusals: e.loggingPlacer.refusals.snapshot(),
	}
}

// PoolStatus describes the queues and engines of one pool.
type PoolStatus struct {
	Model        string         `json:"model"`
	Region       string         `json:"region"`
	Home         string         `json:"home"`
	WaitingShort int            `json:"waitingShort"`
	WaitingLong  int            `json:"waitingLong"`
	Running      int            `json:"running"`
	Engines      []EngineStatus `json:"engines"`
}

// EngineStatus describes one engine as the scheduler sees it. Reserved, Usable and Reported are memory in tokens.
type EngineStatus struct {
	Backend    string    `json:"backend"`
	Accepting  bool      `json:"accepting"`
	Avoided    bool      `json:"avoided"`
	Slow       bool      `json:"slow"`
	Running    int       `json:"running"`
	Reserved   int       `json:"reserved"`
	Usable     int       `json:"usable"`
	Reported   int       `json:"reported"`
	ReportedAt time.Time `json:"reportedAt"`
	// Gap is the observed time between tokens, such as "16ms".
	Gap string `json:"gap"`
}

func poolStatuses(pools []place.PoolStats) []PoolStatus {
	statuses := make([]PoolStatus, 0, len(pools))
	for _, pool := range pools {
		status := PoolStatus{
			Model:        pool.Model,
			Region:       pool.Region,
			Home:         string(pool.Home),
			WaitingShort: pool.Counts.WaitingShort,
			WaitingLong:  pool.Counts.WaitingLong,
			Running:      pool.Counts.Running,
		}
		for _, engine := range pool.Engines {
			status.Engines = append(status.Engines, engineStatus(engine))
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func engineStatus(engine sched.EngineStats) EngineStatus {
	return EngineStatus{
		Backend:    engine.Name,
		Accepting:  engine.Accepting,
		Avoided:    engine.Avoided,
		Slow:       engine.Slow,
		Running:    engine.Running,
		Reserved:   engine.Reserved,
		Usable:     engine.Usable,
		Reported:   engine.Reported,
		ReportedAt: engine.ReportedAt,
		Gap:        engine.Gap.Round(time.Millisecond).String(),
	}
}

func instanceStatuses(instances []pond.Instance) []InstanceStatus {
	statuses := make([]InstanceStatus, 0, len(instances))
	for _, instance := range instances {
		statuses = append(statuses, InstanceStatus{
			Instance:    instance.Ref().String(),
			State:       instance.State(),
			HTTPAddress: instance.HTTPAddress(),
			DataCentre:  instance.DataCentre(),
			Region:      instance.Region(),
		})
	}
	return statuses
}

func (e *Entry) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(e.Status()); err != nil {
		e.log.WithError(err).Debug("status response could not be sent")
	}
}
