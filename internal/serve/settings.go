package serve

import (
	"flag"
	"net"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/config"
	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// cpuBoundLinkBits is the link capacity in bits per second from which the processor and not the link limits an
// instance. An instance with 0.4 cores relays about 300 streams of 0.1 Mbit/s each.
const cpuBoundLinkBits = 50e6

// Settings are the settings that the platform passes to an instance. Addresses have the form IP:PORT.
type Settings struct {
	Instance   string
	DataCentre string
	Region     string
	IP         string
	// FrontAddress is for callers' requests, ReadyAddress for the platform's readiness checks, LookupAddress for address
	// lookups by callers, and PeerAddress for other instances over TCP and UDP.
	FrontAddress  string
	ReadyAddress  string
	LookupAddress string
	PeerAddress   string
	// Seeds are peer addresses to contact first. They may be stale.
	Seeds []string
	// IsSeed is true if the instance is itself a seed.
	IsSeed bool
	// Regions maps each region to its data centres.
	Regions     map[string][]string
	MemoryBytes int64
	// MaxDescriptors is the number of descriptors that the process may open; zero for that of the process itself.
	MaxDescriptors int
	LinkBits       int64
	CPUShare       float64
	// Grace is the grace period of a shutdown, from the stop signal until the process is killed.
	Grace time.Duration
	// KeyLease is the time for which API keys may be accepted without a confirmation that the published records are
	// current; zero for no limit.
	KeyLease time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the retries of all instances together to each service.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// LookupValidity is the maximum validity of the response to an address lookup; zero for no limit by the platform.
	LookupValidity time.Duration
	// ColdOvershoot and ColdSlack bound the requests that a cold backend server gets in any second: its rate times ColdOvershoot, and
	// ColdSlack more. If both are zero, cold backend servers have no limit.
	ColdOvershoot float64
	ColdSlack     float64
	// Evacuation is the time after which no request reaches the backend servers of an evacuated data centre; zero if the platform
	// evacuates none.
	Evacuation time.Duration
}

// capacity returns the weight of the instance for its share of work: thousandths of a core, less if its link is narrow.
func (s *Settings) capacity() uint32 {
	const milli = 1000
	share := s.CPUShare
	if s.LinkBits > 0 && s.LinkBits < cpuBoundLinkBits {
		share *= float64(s.LinkBits) / cpuBoundLinkBits
	}
	return uint32(share * milli)
}

// Flags holds the settings that operators pass as flags and environment variables.
type Flags struct {
	metricsPort int
	secret      string
	disable     string
	disabled    pond.MechanismSet
	sourceIP    string
}

// Register registers the flags.
func (f *Flags) Register(flags *flag.FlagSet) {
	flags.IntVar(&f.metricsPort, "metrics-port", 9464, "`PORT` of the metrics on this instance's IP; 0 serves none")
	flags.StringVar(&f.secret, "secret", "", "cluster secret for the traffic between instances")
	flags.StringVar(&f.sourceIP, "backend-source-ip", "",
		"`IP` address from which the instance connects to backend servers, on a machine with several; empty lets the system choose")
	flags.StringVar(&f.disable, "disable", "", "`LIST` of mechanisms that are switched off, separated by commas, to measure them")
}

// Parse sets the registered flags from args and the environment and validates them.
func (f *Flags) Parse(flags *flag.FlagSet, args []string) error {
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix(config.EnvPrefix)); err != nil {
		return err
	}
	if flags.NArg() > 0 {
		return errors.Errorf("unexpected argument %q; allowed: flags only", flags.Arg(0))
	}
	var err error
	if f.disabled, err = pond.ParseMechanisms(f.disable); err != nil {
		return errors.Wrap(err, "flag -disable")
	}
	if len(f.secret) < peer.MinSecretBytes {
		return errors.Errorf("flag -secret has a value of %d bytes; allowed: at least %d", len(f.secret), peer.MinSecretBytes)
	}
	if f.sourceIP != "" && net.ParseIP(f.sourceIP) == nil {
		return errors.Errorf("flag -backend-source-ip has the value %q; allowed: an IP address", f.sourceIP)
	}
	const maxPort = 65535
	if f.metricsPort < 0 || f.metricsPort > maxPort {
		return errors.Errorf("flag -metrics-port has the value %d; allowed: 0 to %d", f.metricsPort, maxPort)
	}
	return nil
}

func (f *Flags) metricsAddress(ip string) string {
	if f.metricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(ip, strconv.Itoa(f.metricsPort))
}
