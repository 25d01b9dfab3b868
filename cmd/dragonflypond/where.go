package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/dragonflypond/dragonflypond/internal/config"
	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
)

// secretVariable is the environment variable with the cluster secret. A flag would show it in process lists.
const secretVariable = config.EnvPrefix + "_SECRET"

// whereCommand asks an instance where a request would go now.
type whereCommand struct {
	address   string
	asJSON    bool
	request   peerpb.WhereRequest
	prompt    int
	maxTokens int
}

func (*whereCommand) Name() string { return "where" }
func (*whereCommand) Synopsis() string {
	return "explain where a request would go now, without sending it"
}
func (*whereCommand) Usage() string {
	return "where [-address IP:PORT] (-host HOST [-path PATH] | -route NAME) [-account NAME] [-prompt N] [-max N] [-prefix HASH] [-json]\n" +
		"  Reads the cluster secret from " + secretVariable + ".\n"
}

func (c *whereCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.address, "address", "", "`IP:PORT` of the instance for other instances")
	flags.StringVar(&c.request.Host, "host", "", "host of the request")
	flags.StringVar(&c.request.Path, "path", "/", "path of the request")
	flags.StringVar(&c.request.Route, "route", "", "`NAME` of the route, instead of host and path")
	flags.StringVar(&c.request.Account, "account", "", "`NAME` of the client account, not its key")
	flags.IntVar(&c.prompt, "prompt", 0, "prompt tokens")
	flags.IntVar(&c.maxTokens, "max", 0, "maximum output `TOKENS`; 0 if the request names none")
	flags.Uint64Var(&c.request.PrefixHash, "prefix", 0, "`HASH` of the prompt prefix; 0 for none")
	flags.BoolVar(&c.asJSON, "json", false, "print JSON")
}

func (c *whereCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	const maxTokens = 1 << 30
	switch {
	case c.address == "" || (c.request.Host == "") == (c.request.Route == ""):
		fmt.Fprintln(os.Stderr, "where needs -address and either -host or -route")
		return exitUsage
	case c.prompt < 0 || c.prompt > maxTokens || c.maxTokens < 0 || c.maxTokens > maxTokens:
		fmt.Fprintf(os.Stderr, "-prompt and -max must be from 0 to %d\n", maxTokens)
		return exitUsage
	}
	c.request.PromptTokens, c.request.MaxTokens = int32(c.prompt), int32(c.maxTokens)
	answer, err := askWhere(ctx, c.address, os.Getenv(secretVariable), &c.request)
	if err != nil {
		printError("where", err)
		return subcommands.ExitFailure
	}
	write := writeWhere
	if c.asJSON {
		write = writeWhereJSON
	}
	if err := write(os.Stdout, answer); err != nil {
		printError("where", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// askWhere asks the instance with a peer address.
func askWhere(ctx context.Context, address, secret string, request *peerpb.WhereRequest) (*peerpb.WhereResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	network, err := peer.NewNetwork([]byte(secret))
	if err != nil {
		return nil, errors.Wrap(err, "read "+secretVariable)
	}
	defer func() { _ = network.Close() }() // Nothing is sent any more.
	answer, err := peerpb.NewDRPCWhereClient(network.Conn(address)).Explain(ctx, request)
	return answer, errors.Wrap(err, "ask the instance")
}

func writeWhereJSON(out io.Writer, answer *peerpb.WhereResponse) error {
	body, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(answer)
	if err != nil {
		return errors.Wrap(err, "encode the answer")
	}
	_, err = fmt.Fprintln(out, string(body))
	return errors.Wrap(err, "print")
}

func writeWhere(out io.Writer, answer *peerpb.WhereResponse) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(format string, values ...any) { fmt.Fprintf(table, format+"\n", values...) }
	row("instance\t%s in %s", answer.GetInstance(), answer.GetDataCentre())
	row("configuration\trevision %d, last known to be current %s ago", answer.GetRevision(), millis(answer.GetConfirmedAgeMilli()))
	row("route\t%s", answer.GetRoute())
	row("account\t%s", answer.GetAccount())
	switch regions := strings.Join(answer.GetRegions(), ", "); {
	case answer.GetRefusal() != "":
		row("refused\t%s", answer.GetRefusal())
	case !answer.GetRestricted():
		row("regions\tall")
	case regions == "":
		row("regions\tnone")
	default:
		row("regions\t%s", regions)
	}
	for _, service := range answer.GetServices() {
		row("service\t%s, %.0f %% of the requests", service.GetService(), 100*service.GetShare())
		row("decision\t%s", service.GetDecision())
		if service.GetCaveat() != "" {
			row("caveat\t%s", service.GetCaveat())
		}
		writeCandidates(row, service.GetCandidates())
		for _, pool := range service.GetPools() {
			writePool(row, pool)
		}
	}
	return errors.Wrap(table.Flush(), "print")
}

func writePool(row func(string, ...any), pool *peerpb.WherePool) {
	decider := pool.GetDecider()
	if pool.GetHome() {
		decider += ", the home"
	}
	row("pool\tin region %s by %s: %s", pool.GetRegion(), decider, strings.TrimSpace(strings.Join([]string{pool.GetVerdict(), pool.GetChosen(), pool.GetGoTo(), pool.GetDetail()}, " ")))
	if pool.GetCaveat() != "" {
		row("caveat\t%s; last message of the home %s ago", pool.GetCaveat(), millis(pool.GetHeardAgeMilli()))
	}
	row("predicted\twait %s, first event %s, %d requests wait", millis(pool.GetWaitMilli()), millis(pool.GetFirstEventMilli()), pool.GetWaiting())
	if pool.GetGoTo() != "" {
		row("predicted\tfirst event in %s %s", pool.GetGoTo(), millis(pool.GetThereMilli()))
	}
	writeCandidates(row, pool.GetCandidates())
}

func writeCandidates(row func(string, ...any), candidates []*peerpb.WhereCandidate) {
	for _, c := range candidates {
		verdict := "chosen"
		if c.GetAgainst() != "" {
			verdict = c.GetAgainst()
		}
		if states := strings.Join(c.GetStates(), ", "); states != "" {
			verdict += " (" + states + ")"
		}
		cost := "unknown"
		if c.GetCost() >= 0 {
			cost = strconv.FormatFloat(c.GetCost(), 'f', 3, 64)
		}
		row("candidate\t%s in %s\tcost %s\tfirst event %s\treport age %s\t%s", c.GetBackend(), c.GetDataCentre(), cost,
			millis(c.GetFirstEventMilli()), millis(c.GetReportAgeMilli()), verdict)
	}
}

// millis returns a time in milliseconds for people; a negative one is not known.
func millis(ms int64) string {
	if ms < 0 {
		return "unknown"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
