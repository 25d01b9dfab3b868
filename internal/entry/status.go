package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/watch"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// Status is what an instance knows and why, as GET /v1/status answers.
type Status struct {
	Instance  string           `json:"instance"`
	Phase     Phase            `json:"phase"`
	Started   time.Time        `json:"started"`
	Now       time.Time        `json:"now"`
	Manifest  ManifestStatus   `json:"manifest"`
	Instances []InstanceStatus `json:"instances"`
	// Closed are the backend servers that accept no work, as this instance sees them.
	Closed []string    `json:"closed"`
	Work   WorkStatus  `json:"work"`
	Bytes  BytesStatus `json:"bytes"`
	// Refusals are the last refused placements, the oldest first.
	Refusals []RefusalStatus `json:"refusals"`
}

// ManifestStatus describes the manifest in effect and how it was confirmed.
type ManifestStatus struct {
	Number       uint64        `json:"number"`
	Revision     uint64        `json:"revision"`
	Confirmed    bool          `json:"confirmed"`
	Phase        string        `json:"phase"`
	Reports      watch.Reports `json:"reports"`
	ServiceReads uint64        `json:"serviceReads"`
	ListRead     time.Time     `json:"listRead"`
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
}

// BytesStatus counts membership datagrams since the start.
type BytesStatus struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}

// Status returns the current state.
func (e *Entry) Status() Status {
	members := e.members.Snapshot()
	manifest := e.watch.Snapshot()
	records, tombstones, running := e.executor.Counts()
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
			Reports:      manifest.Reports,
			ServiceReads: manifest.ServiceReads,
			ListRead:     manifest.ListRead,
		},
		Instances: instanceStatuses(members.Instances),
		Closed:    manifest.Closed,
		Work: WorkStatus{
			OpenGenerations: e.front.Open(),
			Placements:      e.placer.Open(),
			CallRecords:     records,
			CallTombstones:  tombstones,
			CallsRunning:    running,
		},
		Bytes:    BytesStatus{Sent: members.SentBytes, Received: members.ReceivedBytes},
		Refusals: e.placeLog.refusals.list(),
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
		e.log.WithError(err).Debug("status was not sent")
	}
}
