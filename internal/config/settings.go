package config

import (
	"flag"
	"fmt"
	"net"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/peer"
)

// EnvPrefix is the prefix of the environment variables.
const EnvPrefix = "DRAGONFLYPOND"

const (
	defaultDrainLimit = 10 * time.Minute

	defaultAnswerMegabytes = 16
	minAnswerMegabytes     = 4
	maxAnswerMegabytes     = 4096
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Settings are the settings of one entry instance. They are valid once Parse has succeeded.
type Settings struct {
	instance      string
	dataCentre    string
	region        string
	httpAddress   string
	peerAddress   string
	configAddress string
	listAddress   string
	seeds         string
	secret        string
	secretFile    string
	logLevel      string
	logFormat     string
	drainLimit    time.Duration
	placer        string
	sourceIP      string
	answerMemory  int
}

// Register defines a flag for each setting.
func (s *Settings) Register(flags *flag.FlagSet) {
	flags.StringVar(&s.instance, "instance", "", "name of this instance, unique in the deployment")
	flags.StringVar(&s.dataCentre, "data-centre", "", "data centre of this instance")
	flags.StringVar(&s.region, "region", "", "region of the data centre")
	flags.StringVar(&s.httpAddress, "http-address", "127.0.0.1:7000", "`IP:PORT` for callers")
	flags.StringVar(&s.peerAddress, "peer-address", "127.0.0.1:7100", "`IP:PORT` for other instances, TCP and UDP")
	flags.StringVar(&s.configAddress, "config-address", "", "`IP:PORT` of the configuration service")
	flags.StringVar(&s.listAddress, "list-address", "", "`IP:PORT` of the instance list")
	flags.StringVar(&s.seeds, "seeds", "", "peer addresses to contact first, separated by commas")
	flags.StringVar(&s.secret, "secret", "", "cluster secret; prefer -secret-file or the environment")
	flags.StringVar(&s.secretFile, "secret-file", "", "file that holds the cluster secret")
	flags.StringVar(&s.logLevel, "log-level", "info", "debug, info, warning or error")
	flags.StringVar(&s.logFormat, "log-format", "json", "json or text")
	flags.DurationVar(&s.drainLimit, "drain-limit", defaultDrainLimit, "time after which a shutdown hands streams over")
	flags.StringVar(&s.sourceIP, "backend-source-ip", "",
		"`IP` address from which the instance connects to backend servers, on a machine with several; empty lets the system choose")
	flags.IntVar(&s.answerMemory, "answer-memory", defaultAnswerMegabytes,
		"`megabytes` for answers of plain services: half for those that are read or written, half for those that are kept for repeats")
	flags.StringVar(&s.placer, "placer", "home", "home (shared decisions) or naive (round robin, for comparisons)")
}

// Parse reads args and the environment into the registered flags and validates the settings.
func (s *Settings) Parse(flags *flag.FlagSet, args []string) error {
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return err
	}
	if flags.NArg() > 0 {
		return errors.Errorf("unexpected argument %q; allowed: flags only", flags.Arg(0))
	}
	if err := s.readSecret(); err != nil {
		return err
	}
	return s.validate()
}

// SettingError is the error for a setting with an invalid value.
type SettingError struct {
	name    string
	value   string
	allowed string
}

// Error implements error with one line that names the flag, its value and the allowed values.
func (e *SettingError) Error() string {
	return fmt.Sprintf("flag -%s has the value %q; allowed: %s", e.name, e.value, e.allowed)
}

func (s *Settings) readSecret() error {
	if s.secretFile == "" {
		return nil
	}
	content, err := os.ReadFile(s.secretFile)
	if err != nil {
		return &SettingError{name: "secret-file", value: s.secretFile, allowed: "a readable file"}
	}
	s.secret = strings.TrimSpace(string(content))
	return nil
}

type rule struct {
	name    string
	value   string
	allowed string
	ok      bool
}

func (s *Settings) validate() error {
	_, levelErr := logrus.ParseLevel(s.logLevel)
	rules := []rule{
		{"instance", s.instance, "lower-case letters, digits and hyphens, at most 63", namePattern.MatchString(s.instance)},
		{"data-centre", s.dataCentre, "the name of a data centre", namePattern.MatchString(s.dataCentre)},
		{"region", s.region, "the name of a region", namePattern.MatchString(s.region)},
		{"http-address", s.httpAddress, "IP:PORT", isAddrPort(s.httpAddress)},
		{"peer-address", s.peerAddress, "IP:PORT", isAddrPort(s.peerAddress)},
		{"config-address", s.configAddress, "IP:PORT", isAddrPort(s.configAddress)},
		{"list-address", s.listAddress, "IP:PORT or empty", s.listAddress == "" || isAddrPort(s.listAddress)},
		{"seeds", s.seeds, "IP:PORT,IP:PORT,... or empty", areAddrPorts(s.Seeds())},
		{"secret", "(hidden)", fmt.Sprintf("at least %d bytes", peer.MinSecretBytes), len(s.secret) >= peer.MinSecretBytes},
		{"log-level", s.logLevel, "debug, info, warning or error", levelErr == nil},
		{"log-format", s.logFormat, "json or text", s.logFormat == "json" || s.logFormat == "text"},
		{"drain-limit", s.drainLimit.String(), "a duration of at least 0s", s.drainLimit >= 0},
		{"backend-source-ip", s.sourceIP, "an IP address or empty", s.sourceIP == "" || net.ParseIP(s.sourceIP) != nil},
		{"answer-memory", strconv.Itoa(s.answerMemory), fmt.Sprintf("%d to %d megabytes", minAnswerMegabytes, maxAnswerMegabytes),
			s.answerMemory >= minAnswerMegabytes && s.answerMemory <= maxAnswerMegabytes},
		{"placer", s.placer, "home or naive", s.placer == "home" || s.placer == "naive"},
	}
	for _, r := range rules {
		if !r.ok {
			return &SettingError{name: r.name, value: r.value, allowed: r.allowed}
		}
	}
	return nil
}

func isAddrPort(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func areAddrPorts(addresses []string) bool {
	for _, address := range addresses {
		if !isAddrPort(address) {
			return false
		}
	}
	return true
}

// Instance returns the name of this instance.
func (s *Settings) Instance() string { return s.instance }

// DataCentre returns the data centre of this instance.
func (s *Settings) DataCentre() string { return s.dataCentre }

// Region returns the region of this instance.
func (s *Settings) Region() string { return s.region }

// HTTPAddress returns the IP:PORT for callers.
func (s *Settings) HTTPAddress() string { return s.httpAddress }

// PeerAddress returns the IP:PORT for other instances.
func (s *Settings) PeerAddress() string { return s.peerAddress }

// ConfigAddress returns the IP:PORT of the configuration service.
func (s *Settings) ConfigAddress() string { return s.configAddress }

// ListAddress returns the IP:PORT of the instance list, or "".
func (s *Settings) ListAddress() string { return s.listAddress }

// Seeds returns the peer addresses to contact first.
func (s *Settings) Seeds() []string {
	if s.seeds == "" {
		return nil
	}
	return strings.Split(s.seeds, ",")
}

// Secret returns the cluster secret.
func (s *Settings) Secret() []byte { return []byte(s.secret) }

// SourceIP returns the IP address from which the instance connects to backend servers; empty lets the system choose.
func (s *Settings) SourceIP() string { return s.sourceIP }

// ReadAnswerBytes returns the memory for answers that are read or written, beyond a small share for each.
func (s *Settings) ReadAnswerBytes() int64 { return int64(s.answerMemory) << 20 / 2 }

// KeptAnswerBytes returns the memory for answers that are kept for repeats.
func (s *Settings) KeptAnswerBytes() int64 { return int64(s.answerMemory) << 20 / 2 }

// DrainLimit returns the time that a shutdown waits for streams to end before it hands them over.
func (s *Settings) DrainLimit() time.Duration { return s.drainLimit }

// Naive reports whether the naive placer is used. It is only a baseline for measurements.
func (s *Settings) Naive() bool { return s.placer == "naive" }

// NewLogger returns a logger with the level and format of the settings.
func (s *Settings) NewLogger() (*logrus.Logger, error) {
	logger := logrus.New()
	level, err := logrus.ParseLevel(s.logLevel)
	if err != nil {
		return nil, errors.Wrap(err, "parse the log level")
	}
	logger.SetLevel(level)
	if s.logFormat == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return logger, nil
}
