package fakes

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Place is a data centre of a local run with the addresses of its stand-ins.
type Place struct {
	Region     string
	DataCentre string
	// Engines and Services hold IP:PORT.
	Engines  []string
	Services []string
}

// ManifestConfig describes the manifest of a local run.
type ManifestConfig struct {
	// Number is the publisher's number, at least 1.
	Number     uint64
	Deployment string
	Places     []Place
	// WeightStore is IP:PORT; the store is in the first place.
	WeightStore string
	Model       string
	Service     string
	// Routes declares the service's calls; nil means DefaultRoutes.
	Routes []ManifestRoute
	Batch  BatchConfig
	// Accounts is the number of client accounts; the keys are those of AccountKey.
	Accounts int
	// FencingShare is the share of engines that check fencing tokens, from 0 to 1.
	FencingShare float64
}

// ManifestRoute is one declared call of a plain service.
type ManifestRoute struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Repeat is "atMostOnce" or "idempotent".
	Repeat string `json:"repeat"`
}

// DefaultRoutes returns a charge that may run once and a lookup that may be repeated.
func DefaultRoutes() []ManifestRoute {
	return []ManifestRoute{
		{Method: "POST", Path: "/charges/*", Repeat: "atMostOnce"},
		{Method: "GET", Path: "/charges/*", Repeat: "idempotent"},
	}
}

// AccountName returns the name of a client account of a local run, counted from 0.
func AccountName(i int) string { return fmt.Sprintf("account-%d", i) }

// AccountKey returns the API key of a client account of a local run, counted from 0.
func AccountKey(i int) string { return fmt.Sprintf("local-key-%d", i) }

// ModelVersion is the only version of the model in the manifest of a local run.
const ModelVersion = "1"

// Limits of the model and weights of the manifest of a local run.
const (
	contextTokens      = 32_000
	maxOutputTokens    = 24_000
	linkBytesPerSecond = 30_000_000 / 8 // The link between regions carries 30 Mbit/s.
	linkBytesPerHour   = 4_000_000_000
	loadsPerMinute     = 12
	accountRate        = 500
	accountOpen        = 2_000
	largeAccountWeight = 4
	largeAccounts      = 3
)

// ManifestBody returns the JSON of a manifest for the given addresses. Backend servers are named
// "engine-DATACENTRE-N" and "service-DATACENTRE-N".
func ManifestBody(config ManifestConfig) ([]byte, error) {
	doc := object{
		"number":     config.Number,
		"deployment": config.Deployment,
		"regions":    regions(config.Places),
		"link":       object{"bytesPerSecond": linkBytesPerSecond, "bytesPerHour": linkBytesPerHour},
		"weightStore": object{
			"address": config.WeightStore, "dataCentre": config.Places[0].DataCentre, "loadsPerMinute": loadsPerMinute,
		},
		"models": []object{{
			"name": config.Model, "versions": []string{ModelVersion},
			"contextTokens": contextTokens, "maxTokens": maxOutputTokens,
		}},
		"backendServers": backendServers(config),
		"services":       []object{service(config)},
		"clientAccounts": clientAccounts(config.Accounts),
		"policy":         object{},
	}
	return json.MarshalIndent(doc, "", "  ")
}

// EngineState returns the state that the manifest wants of its engines, for engines that start with the model loaded.
func (c ManifestConfig) EngineState() EngineOrder {
	return EngineOrder{Model: c.Model, Version: ModelVersion, Role: engineRole}
}

const engineRole = "serve"

type object map[string]any

func regions(places []Place) []object {
	var names []string
	dataCentres := make(map[string][]string)
	for _, place := range places {
		if _, ok := dataCentres[place.Region]; !ok {
			names = append(names, place.Region)
		}
		dataCentres[place.Region] = append(dataCentres[place.Region], place.DataCentre)
	}
	list := make([]object, 0, len(names))
	for _, name := range names {
		list = append(list, object{"name": name, "dataCentres": dataCentres[name]})
	}
	return list
}

func backendServers(config ManifestConfig) []object {
	list := []object{}
	fenced := 0.0
	for _, place := range config.Places {
		for i, address := range place.Engines {
			fenced += config.FencingShare
			checks := fenced >= 1
			if checks {
				fenced--
			}
			list = append(list, object{
				"name": EngineName(place.DataCentre, i), "address": address, "dataCentre": place.DataCentre,
				"kind": "engine", "checksFencing": checks,
				"memoryTokens": config.Batch.MemoryTokens, "maxRunning": config.Batch.MaxRunning,
				"placement": config.EngineState().placement(),
			})
		}
		for i, address := range place.Services {
			list = append(list, object{
				"name": ServiceName(place.DataCentre, i), "address": address, "dataCentre": place.DataCentre,
				"kind": "service",
			})
		}
	}
	return list
}

func (o EngineOrder) placement() object {
	return object{"model": o.Model, "version": o.Version, "role": o.Role}
}

// EngineName returns the name of an engine in the manifest of a local run, counted from 0 in each data centre.
func EngineName(dataCentre string, i int) string { return fmt.Sprintf("engine-%s-%d", dataCentre, i) }

// ServiceName returns the name of a service replica in the manifest of a local run, counted like EngineName.
func ServiceName(dataCentre string, i int) string { return fmt.Sprintf("service-%s-%d", dataCentre, i) }

func service(config ManifestConfig) object {
	routes := config.Routes
	if routes == nil {
		routes = DefaultRoutes()
	}
	names := []string{}
	for _, place := range config.Places {
		for i := range place.Services {
			names = append(names, ServiceName(place.DataCentre, i))
		}
	}
	return object{"name": config.Service, "backendServers": names, "routes": routes}
}

func clientAccounts(count int) []object {
	list := []object{}
	for i := range count {
		weight := 1
		if i < largeAccounts {
			weight = largeAccountWeight
		}
		hash := sha256.Sum256([]byte(AccountKey(i)))
		list = append(list, object{
			"name": AccountName(i), "keyHashes": []string{hex.EncodeToString(hash[:])},
			"priority": 1, "weight": weight, "requestsPerSecond": accountRate, "maxOpen": accountOpen,
		})
	}
	return list
}
