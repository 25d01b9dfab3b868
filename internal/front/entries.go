package front

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// EntriesValidity is how long callers may use the answer of GET /v1/entries. A leaving instance accepts work for at
// least this long after other instances have stopped listing it.
const EntriesValidity = 15 * time.Second

// entriesResponse is the answer of GET /v1/entries.
type entriesResponse struct {
	Entries    []entryInfo `json:"entries"`
	ValidUntil time.Time   `json:"validUntil"`
	RunKey     string      `json:"runKey,omitempty"`
}

type entryInfo struct {
	Instance   string `json:"instance"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
}

// serveEntries lists the live instances, ordered by name.
func (f *Front) serveEntries(w http.ResponseWriter, r *request) error {
	response := entriesResponse{Entries: []entryInfo{}, ValidUntil: r.arrived.Add(EntriesValidity).UTC()}
	for _, instance := range f.options.Directory.Instances() {
		if instance.State() != pond.InstanceLive {
			continue
		}
		response.Entries = append(response.Entries, entryInfo{
			Instance:   string(instance.ID()),
			Address:    instance.HTTPAddress(),
			DataCentre: instance.DataCentre(),
			Region:     instance.Region(),
		})
	}
	slices.SortFunc(response.Entries, func(a, b entryInfo) int { return strings.Compare(a.Instance, b.Instance) })
	if f.options.RunKeys != nil {
		response.RunKey = f.options.RunKeys.Issue(r.account.Name(), r.arrived)
	}
	sendJSON(w, response)
	return nil
}
