package demo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypond/dragonflypond/internal/config"
	"github.com/dragonflypond/dragonflypond/internal/entry"
	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

const (
	model             = "letters"
	service           = "shop"
	secret            = "demo-secret-0123456789"
	accounts          = 4
	enginesPerPlace   = 2
	entriesPerPlace   = 2
	readyLimit        = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

type place struct{ region, dataCentre string }

var places = []place{{"norte", "norte-1"}, {"norte", "norte-2"}, {"sul", "sul-1"}}

// system is a running system with its stand-ins.
type system struct {
	servers  []*fakes.Server
	engines  []string
	services []string
	entries  []*entry.Entry
	config   string
}

// start brings up the stand-ins and assembles the entry instances.
func start(log *logrus.Logger) (*system, error) {
	s := new(system)
	if err := s.startStandIns(); err != nil {
		s.close()
		return nil, err
	}
	for i := range len(places) * entriesPerPlace {
		if err := s.startEntry(i, log); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *system) startStandIns() error {
	weights, err := s.serve(fakes.NewWeightStore(60))
	if err != nil {
		return err
	}
	manifest := fakes.ManifestConfig{
		Number:       1,
		Deployment:   "demo",
		WeightStore:  weights,
		Model:        model,
		Service:      service,
		Batch:        fakes.DefaultBatchConfig(),
		Accounts:     accounts,
		FencingShare: 0.5,
	}
	for _, p := range places {
		standIns, err := s.startPlace(p, manifest)
		if err != nil {
			return err
		}
		manifest.Places = append(manifest.Places, standIns)
	}
	body, err := fakes.ManifestBody(manifest)
	if err != nil {
		return errors.Wrap(err, "build manifest")
	}
	platform := fakes.NewConfigService()
	platform.Publish(body)
	s.config, err = s.serve(platform)
	return err
}

// startPlace starts the engines and the service replica of one data centre.
func (s *system) startPlace(p place, manifest fakes.ManifestConfig) (fakes.Place, error) {
	standIns := fakes.Place{Region: p.region, DataCentre: p.dataCentre}
	for i := range enginesPerPlace {
		engineConfig := fakes.DefaultEngineConfig(fakes.EngineName(p.dataCentre, i))
		engineConfig.State = manifest.EngineState()
		address, err := s.serve(fakes.NewEngine(engineConfig))
		if err != nil {
			return standIns, err
		}
		standIns.Engines = append(standIns.Engines, address)
	}
	address, err := s.serve(fakes.NewService(fakes.ServiceName(p.dataCentre, 0)))
	if err != nil {
		return standIns, err
	}
	standIns.Services = []string{address}
	s.engines = append(s.engines, standIns.Engines...)
	s.services = append(s.services, address)
	return standIns, nil
}

func (s *system) serve(handler http.Handler) (string, error) {
	server, err := fakes.Serve("127.0.0.1:0", handler)
	if err != nil {
		return "", err
	}
	s.servers = append(s.servers, server)
	return server.Address(), nil
}

func (s *system) startEntry(i int, log *logrus.Logger) error {
	p := places[i%len(places)]
	seed := ""
	if len(s.entries) > 0 {
		seed = s.entries[0].PeerAddress()
	}
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	var settings config.Settings
	settings.Register(flags)
	args := []string{
		fmt.Sprintf("-instance=entry-%d", i), "-data-centre=" + p.dataCentre, "-region=" + p.region,
		"-http-address=127.0.0.1:0", "-peer-address=127.0.0.1:0", "-config-address=" + s.config,
		"-seeds=" + seed, "-secret=" + secret,
	}
	if err := settings.Parse(flags, args); err != nil {
		return errors.Wrap(err, "settings of the demo")
	}
	instance, err := entry.New(&settings, log)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, instance)
	return nil
}

// run serves until ctx ends.
func (s *system) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, instance := range s.entries {
		group.Go(func() error { return instance.Run(ctx) })
	}
	return group.Wait()
}

// ready waits until every instance serves and knows all others.
func (s *system) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !s.allReady() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the instances")
		case <-ticker.C:
		}
	}
	return nil
}

func (s *system) allReady() bool {
	for _, instance := range s.entries {
		if instance.Phase() != entry.PhaseReady || len(instance.Status().Instances) != len(s.entries) {
			return false
		}
	}
	return true
}

func (s *system) addresses() []string {
	addresses := make([]string, 0, len(s.entries))
	for _, instance := range s.entries {
		addresses = append(addresses, instance.HTTPAddress())
	}
	return addresses
}

func (s *system) close() {
	for _, server := range s.servers {
		server.Close()
	}
}
