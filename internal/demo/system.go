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
	model                = "letters"
	service              = "shop"
	secret               = "demo-secret-0123456789"
	accounts             = 4
	enginesPerDataCentre = 2
	entriesPerDataCentre = 2
	readyTimeout         = 15 * time.Second
	readyPollInterval    = 50 * time.Millisecond
)

type dataCentre struct{ region, name string }

var dataCentres = []dataCentre{{"norte", "norte-1"}, {"norte", "norte-2"}, {"sul", "sul-1"}}

// system is a running system with its stand-ins.
type system struct {
	// links are the ways to the backend servers, which faults can cut for single instances.
	links         []*fakes.Link
	servers       []*fakes.Server
	engines       []string
	services      []string
	entries       []*entry.Entry
	configAddress string
}

// startSystem starts the stand-ins and creates the entry instances, which system.run runs.
func startSystem(log *logrus.Logger) (*system, error) {
	s := new(system)
	if err := s.startStandIns(); err != nil {
		s.close()
		return nil, err
	}
	for i := range len(dataCentres) * entriesPerDataCentre {
		if err := s.addEntry(i, log); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *system) startStandIns() error {
	weights, err := s.startServer(fakes.NewWeightStore(60))
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
	for _, dc := range dataCentres {
		standIns, err := s.startDataCentre(dc, manifest)
		if err != nil {
			return err
		}
		manifest.DataCentres = append(manifest.DataCentres, standIns)
	}
	body, err := fakes.ManifestBody(manifest)
	if err != nil {
		return errors.Wrap(err, "build manifest")
	}
	configService := fakes.NewConfigService()
	configService.Publish(body)
	s.configAddress, err = s.startServer(configService)
	return err
}

// startDataCentre starts the engines and the service replica of one data centre.
func (s *system) startDataCentre(dc dataCentre, manifest fakes.ManifestConfig) (fakes.DataCentre, error) {
	standIns := fakes.DataCentre{Region: dc.region, Name: dc.name}
	for i := range enginesPerDataCentre {
		engineConfig := fakes.DefaultEngineConfig(fakes.EngineName(dc.name, i))
		engineConfig.State = manifest.EngineState()
		address, err := s.startBackend(fakes.NewEngine(engineConfig))
		if err != nil {
			return standIns, err
		}
		standIns.Engines = append(standIns.Engines, address)
	}
	address, err := s.startBackend(fakes.NewService(fakes.ServiceName(dc.name, 0)))
	if err != nil {
		return standIns, err
	}
	standIns.Services = []string{address}
	s.engines = append(s.engines, standIns.Engines...)
	s.services = append(s.services, address)
	return standIns, nil
}

// startBackend starts the stand-in of a backend server behind a link and returns the address of the link.
func (s *system) startBackend(handler http.Handler) (string, error) {
	address, err := s.startServer(handler)
	if err != nil {
		return "", err
	}
	link, err := fakes.NewLink("127.0.0.1:0", address)
	if err != nil {
		return "", err
	}
	s.links = append(s.links, link)
	return link.Address(), nil
}

// cutOff closes the connections of an instance to all backend servers, and each new one.
func (s *system) cutOff(instance int) error {
	for _, link := range s.links {
		if err := link.Inject(fakes.Fault{Kind: fakes.FaultCut, Source: sourceIP(instance)}); err != nil {
			return err
		}
	}
	return nil
}

// sourceIP returns the address from which an instance connects to backend servers.
func sourceIP(instance int) string { return fmt.Sprintf("127.0.0.%d", instance+2) }

func (s *system) startServer(handler http.Handler) (string, error) {
	server, err := fakes.Serve("127.0.0.1:0", handler)
	if err != nil {
		return "", err
	}
	s.servers = append(s.servers, server)
	return server.Address(), nil
}

func (s *system) addEntry(i int, log *logrus.Logger) error {
	dc := dataCentres[i%len(dataCentres)]
	seed := ""
	if len(s.entries) > 0 {
		seed = s.entries[0].PeerAddress()
	}
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	var settings config.Settings
	settings.Register(flags)
	args := []string{
		fmt.Sprintf("-instance=entry-%d", i), "-data-centre=" + dc.name, "-region=" + dc.region,
		"-http-address=127.0.0.1:0", "-peer-address=127.0.0.1:0", "-config-address=" + s.configAddress,
		"-seeds=" + seed, "-secret=" + secret, "-backend-source-ip=" + sourceIP(i),
	}
	if err := settings.Parse(flags, args); err != nil {
		return errors.Wrap(err, "parse settings of a demo instance")
	}
	instance, err := entry.New(&settings, log)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, instance)
	return nil
}

// run runs the entry instances until ctx is done.
func (s *system) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, instance := range s.entries {
		group.Go(func() error { return instance.Run(ctx) })
	}
	return group.Wait()
}

// waitReady waits until every instance is ready and knows all others.
func (s *system) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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
	for _, link := range s.links {
		link.Close()
	}
	for _, server := range s.servers {
		server.Close()
	}
}
