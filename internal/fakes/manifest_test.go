package fakes

import (
	"testing"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// Guards against a manifest whose field names differ from those of pkg/spec, which would leave a local run without
// engines or client accounts.
func TestManifestBodyDecodes(t *testing.T) {
	body, err := ManifestBody(ManifestConfig{
		Number:     3,
		Deployment: "dosis",
		DataCentres: []DataCentre{
			{Region: "attiki", Name: "a1", Engines: []string{"127.0.0.1:1", "127.0.0.1:2"}},
			{Region: "attiki", Name: "a2", Engines: []string{"127.0.0.1:3"}, Services: []string{"127.0.0.1:4"}},
			{Region: "makedonia", Name: "m1", Engines: []string{"127.0.0.1:5"}},
		},
		WeightStore:  "127.0.0.1:6",
		Model:        "draft",
		Service:      "portal",
		Batch:        DefaultBatchConfig(),
		Accounts:     4,
		FencingShare: 0.5,
	})
	if err != nil {
		t.Fatal(err)
	}
	manifest, err := spec.Decode(body, 1)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(manifest.Backends()); got != 5 {
		t.Errorf("backend servers: got %d, want 5", got)
	}
	if got := manifest.Region("m1"); got != "makedonia" {
		t.Errorf("region of m1: got %q, want makedonia", got)
	}
	engine, _ := manifest.Backend(EngineName("a1", 1))
	if model, _ := engine.Model(); model != "draft" || !engine.ChecksFencing() {
		t.Errorf("second engine of a1: model %q, checks fencing %v", model, engine.ChecksFencing())
	}
	portal, _ := manifest.Service("portal")
	if repeat, ok := portal.Repeat("POST", "/charges/7"); !ok || repeat != spec.RepeatAtMostOnce {
		t.Errorf("charge: repeat %v, declared %v", repeat, ok)
	}
	if got := len(manifest.Accounts()); got != 4 {
		t.Errorf("accounts: got %d, want 4", got)
	}
}
