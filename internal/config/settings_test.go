package config

import (
	"flag"
	"io"
	"strings"
	"testing"
)

var validArgs = []string{
	"-instance=entry-1", "-data-centre=norte-1", "-region=norte", "-config-address=127.0.0.1:9000",
	"-secret=0123456789abcdef",
}

// TestParse guards against an invalid setting that is accepted at startup, and against an error that does not name the
// flag.
func TestParse(t *testing.T) {
	tests := []struct {
		name string
		arg  string
		flag string
	}{
		{name: "all valid", arg: "-log-level=debug"},
		{name: "upper-case name", arg: "-instance=Entry", flag: "-instance"},
		{name: "host name", arg: "-http-address=localhost:7000", flag: "-http-address"},
		{name: "no port", arg: "-peer-address=127.0.0.1", flag: "-peer-address"},
		{name: "no configuration service", arg: "-config-address=", flag: "-config-address"},
		{name: "bad seed", arg: "-seeds=127.0.0.1:1,x", flag: "-seeds"},
		{name: "short secret", arg: "-secret=abc", flag: "-secret"},
		{name: "missing secret file", arg: "-secret-file=testdata/none", flag: "-secret-file"},
		{name: "unknown level", arg: "-log-level=loud", flag: "-log-level"},
		{name: "unknown format", arg: "-log-format=xml", flag: "-log-format"},
		{name: "no source address", arg: "-backend-source-ip=here", flag: "-backend-source-ip"},
		{name: "negative limit", arg: "-drain-limit=-1s", flag: "-drain-limit"},
		{name: "too little memory", arg: "-answer-memory=1", flag: "-answer-memory"},
		{name: "too much memory", arg: "-answer-memory=100000", flag: "-answer-memory"},
		{name: "unknown placer", arg: "-placer=best", flag: "-placer"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := parse(append(validArgs, test.arg))
			if test.flag == "" {
				if err != nil {
					t.Errorf("got error %v, want none", err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), test.flag+" ") {
				t.Errorf("got error %v, want one that names %s", err, test.flag)
			}
		})
	}
}

// TestEnvironment guards against a variable that is ignored or that takes precedence over its flag.
func TestEnvironment(t *testing.T) {
	t.Setenv("DRAGONFLYPOND_DATA_CENTRE", "Bad Name")
	if err := parse(validArgs); err != nil {
		t.Errorf("flag and variable: got error %v, want the flag to take precedence", err)
	}
	t.Setenv("DRAGONFLYPOND_LOG_FORMAT", "xml")
	if err := parse(validArgs); err == nil {
		t.Error("variable with an invalid value: got no error")
	}
}

func parse(args []string) error {
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	var settings Settings
	settings.Register(flags)
	return settings.Parse(flags, args)
}
