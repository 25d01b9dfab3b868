package fakes

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// DataCentre is a data centre of a local run with the addresses of its stand-ins.
type DataCentre struct {
	Region string
	Name   string
	// Engines and Services hold IP:PORT.
	Engines  []string
	Services []string
}

// ManifestConfig describes the manifest of a local run.
type ManifestConfig struct {
	// Number is the publisher's number, at least 1.
	Number      uint64
	Deployment  string
	DataCentres []DataCentre
	// WeightStore is the IP:PORT of the weight store, which is in the first data centre.
	WeightStore string
	Model       string
	Service     string
	// Routes declares the calls of the service. If nil, DefaultRoutes are used.
	Routes []ManifestRoute
	Batch  BatchConfig
	// Accounts is the number of client accounts. AccountKey returns their keys.
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

// DefaultRoutes returns a charge that may run at most once and a lookup that may be repeated.
func DefaultRoutes() []ManifestRoute {
	return []ManifestRoute{
		{Method: "POST", Path: "/charges/*", Repeat: "atMostOnce"},
		{Method: "GET", Path: "/charges/*", Repeat: "idempotent"},
	}
}

// AccountName returns the name of the client account with index i in a local run.
func AccountName(i int) string { return fmt.Sprintf("account-%d", i) }

// AccountKey returns the API key of the client account with index i in a local run.
func AccountKey(i int) string { return fmt.Sprintf("local-key-%d", i) }

// ModelVersion is the only version of the model in the manifest of a local run.
const ModelVersion = "1"

// Limits of the model, the link, the weight store and the client accounts in the manifest of a local run.
const (
	contextTokens            = 32_000
	maxOutputTokens          = 24_000
	linkBytesPerSecond       = 30_000_000 / 8 // The link between regions carries 30 Mbit/s.
	linkBytesPerHour         = 4_000_000_000
	loadsPerMinute           = 12
	accountRequestsPerSecond = 500
	accountMaxOpen           = 2_000
	largeAccountWeight       = 4
	largeAccountCount        = 3
)

// ManifestBody returns the manifest as JSON. Backend servers are named "engine-DATACENTRE-N" and
// "service-DATACENTRE-N".
func ManifestBody(config ManifestConfig) ([]byte, error) {
	doc := jsonObject{
		"number":     config.Number,
		"deployment": config.Deployment,
		"regions":    regionObjects(config.DataCentres),
		"link":       jsonObject{"bytesPerSecond": linkBytesPerSecond, "bytesPerHour": linkBytesPerHour},
		"weightStore": jsonObject{
			"address": config.WeightStore, "dataCentre": config.DataCentres[0].Name, "loadsPerMinute": loadsPerMinute,
		},
		"models": []jsonObject{{
			"name": config.Model, "versions": []string{ModelVersion},
			"contextTokens": contextTokens, "maxTokens": maxOutputTokens,
		}},
		"backendServers": backendObjects(config),
		"services":       []jsonObject{serviceObject(config)},
		"clientAccounts": accountObjects(config.Accounts),
		"policy":         jsonObject{},
	}
	return json.MarshalIndent(doc, "", "  ")
}

// EngineState returns the state that the manifest specifies for its engines, for engines that start with the model
// loaded.
func (c ManifestConfig) EngineState() EngineOrder {
	return EngineOrder{Model: c.Model, Version: ModelVersion, Role: engineRole}
}

const engineRole = "serve"

type jsonObject map[string]any

func regionObjects(centres []DataCentre) []jsonObject {
	var names []string
	dataCentres := make(map[string][]string)
	for _, dc := range centres {
		if _, ok := dataCentres[dc.Region]; !ok {
			names = append(names, dc.Region)
		}
		dataCentres[dc.Region] = append(dataCentres[dc.Region], dc.Name)
	}
	list := make([]jsonObject, 0, len(names))
	for _, name := range names {
		list = append(list, jsonObject{"name": name, "dataCentres": dataCentres[name]})
	}
	return list
}

func backendObjects(config ManifestConfig) []jsonObject {
	list := []jsonObject{}
	shareSum := 0.0 // Spreads the engines that check fencing tokens evenly.
	for _, dc := range config.DataCentres {
		for i, address := range dc.Engines {
			shareSum += config.FencingShare
			checksFencing := shareSum >= 1
			if checksFencing {
				shareSum--
			}
			list = append(list, jsonObject{
				"name": EngineName(dc.Name, i), "address": address, "dataCentre": dc.Name,
				"kind": "engine", "checksFencing": checksFencing,
				"memoryTokens": config.Batch.MemoryTokens, "maxRunning": config.Batch.MaxRunning,
				"placement": config.EngineState().placementObject(),
			})
		}
		for i, address := range dc.Services {
			list = append(list, jsonObject{
				"name": ServiceName(dc.Name, i), "address": address, "dataCentre": dc.Name,
				"kind": "service",
			})
		}
	}
	return list
}

func (o EngineOrder) placementObject() jsonObject {
	return jsonObject{"model": o.Model, "version": o.Version, "role": o.Role}
}

// EngineName returns the name of the engine with index i in a data centre, as in the manifest of a local run.
func EngineName(dataCentre string, i int) string { return fmt.Sprintf("engine-%s-%d", dataCentre, i) }

// ServiceName returns the name of the service replica with index i in a data centre, as in the manifest of a local run.
func ServiceName(dataCentre string, i int) string { return fmt.Sprintf("service-%s-%d", dataCentre, i) }

func serviceObject(config ManifestConfig) jsonObject {
	routes := config.Routes
	if routes == nil {
		routes = DefaultRoutes()
	}
	names := []string{}
	for _, dc := range config.DataCentres {
		for i := range dc.Services {
			names = append(names, ServiceName(dc.Name, i))
		}
	}
	return jsonObject{"name": config.Service, "backendServers": names, "routes": routes}
}

func accountObjects(count int) []jsonObject {
	list := []jsonObject{}
	for i := range count {
		weight := 1
		if i < largeAccountCount {
			weight = largeAccountWeight
		}
		hash := sha256.Sum256([]byte(AccountKey(i)))
		list = append(list, jsonObject{
			"name": AccountName(i), "keyHashes": []string{hex.EncodeToString(hash[:])},
			"priority": 1, "weight": weight, "requestsPerSecond": accountRequestsPerSecond, "maxOpen": accountMaxOpen,
		})
	}
	return list
}
