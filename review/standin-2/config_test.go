package driver

import (
	"encoding/json"
)

const host = "pond.example"

type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	AuthExempt      bool   `json:"authExempt"`
	Sticky          bool   `json:"sticky"`
	Resumable       bool   `json:"resumable"`
	GapTargetMs     int    `json:"gapTargetMs,omitempty"`
}

type service struct {
	Name           string         `json:"name"`
	HealthPath     string         `json:"healthPath"`
	MaxConnections int            `json:"maxConnections"`
	Protocol       string         `json:"protocol"`
	TLS            bool           `json:"tls"`
	Engine         map[string]any `json:"engine,omitempty"`
}

type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

// config is a configuration of the operator.
type config struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenant       `json:"tenants"`
}

func newConfig() *config {
	return &config{
		Limits: map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func (c *config) addService(name string) {
	c.Services = append(c.Services, service{Name: name, HealthPath: "/health", MaxConnections: 252, Protocol: "h1"})
}

func (c *config) addRoute(name, prefix, kind, service string, timeoutMs, maxAttempts int) {
	c.Routes = append(c.Routes, route{
		Name: name, Host: host, Prefix: prefix, Kind: kind, TimeoutMs: timeoutMs, TargetLatencyMs: 400, Priority: 2, Service: service, MaxAttempts: maxAttempts,
	})
}

// publish writes the configuration with the next version, and returns its size. Versions increase in uneven steps.
func (c *config) publish(s *store) int {
	c.Version += 3 + c.Version%2
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	s.put("op/config", text)
	return len(text)
}
