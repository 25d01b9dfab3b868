package front

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// EntriesValidity is how long callers may use the answer of GET /v1/entries. A leaving instance accepts work for at
// least this long after others have stopped naming it.
const EntriesValidity = 15 * time.Second

// entriesDoc is the answer of GET /v1/entries.
type entriesDoc struct {
	Entries    []entryDoc `json:"entries"`
	ValidUntil time.Time  `json:"validUntil"`
	RunKey     string     `json:"runKey,omitempty"`
}

type entryDoc struct {
	Instance   string `json:"instance"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
}

// serveEntries names the live instances in the order of their names.
func (f *Front) serveEntries(w http.ResponseWriter, r *request) error {
	doc := entriesDoc{Entries: []entryDoc{}, ValidUntil: r.arrived.Add(EntriesValidity).UTC()}
	for _, instance := range f.options.Directory.Instances() {
		if instance.State() != pond.InstanceLive {
			continue
		}
		doc.Entries = append(doc.Entries, entryDoc{
			Instance:   string(instance.ID()),
			Address:    instance.HTTPAddress(),
			DataCentre: instance.DataCentre(),
			Region:     instance.Region(),
		})
	}
	slices.SortFunc(doc.Entries, func(a, b entryDoc) int { return strings.Compare(a.Instance, b.Instance) })
	if f.options.RunKeys != nil {
		doc.RunKey = f.options.RunKeys.Issue(r.account.Name(), r.arrived)
	}
	sendJSON(w, doc)
	return nil
}
