package quota

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
)

// maxTellConcurrency bounds the messages that a home sends at the same time when it spreads a change.
const maxTellConcurrency = 16

var _ peerpb.DRPCLimitsServer = (*Server)(nil)

// Server answers the questions and messages of other instances.
type Server struct{ gate *Gate }

// NewServer returns the peer service of a gate.
func NewServer(gate *Gate) *Server { return &Server{gate: gate} }

// ask asks another instance as the home for a permit.
func (g *Gate) ask(ctx context.Context, address string, notice Notice, usage Usage) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn := g.options.Connect(address)
	defer conn.Close()
	resp, err := peerpb.NewDRPCLimitsClient(conn).Permit(ctx, &peerpb.PermitRequest{
		Limit: g.messageOf(notice), Asker: string(g.options.Self), Usage: g.usageMessage(usage),
	})
	if err != nil {
		return Answer{}, err
	}
	if resp.GetLimit() != nil {
		g.merge(g.noticeOf(resp.GetLimit()), "home")
		g.learnCold(resp.GetLimit())
	}
	return Answer{
		granted:    resp.GetGranted(),
		retryAfter: time.Duration(resp.GetRetryAfterMicro()) * time.Microsecond,
		askAfter:   time.Duration(resp.GetAskAfterMicro()) * time.Microsecond,
		spacing:    time.Duration(resp.GetSpacingMicro()) * time.Microsecond,
	}, nil
}

// Permit implements peerpb.DRPCLimitsServer.
func (s *Server) Permit(_ context.Context, req *peerpb.PermitRequest) (*peerpb.PermitResponse, error) {
	g := s.gate
	backend := req.GetLimit().GetBackend()
	if g.merge(g.noticeOf(req.GetLimit()), req.GetAsker()) {
		go g.tellPeers(backend)
	}
	g.learnCold(req.GetLimit())
	answer := g.take(backend, req.GetAsker(), g.usageOf(req.GetAsker(), req.GetUsage()), g.coldOf(req.GetLimit()))
	return &peerpb.PermitResponse{
		Granted:         answer.granted,
		RetryAfterMicro: answer.retryAfter.Microseconds(),
		AskAfterMicro:   answer.askAfter.Microseconds(),
		SpacingMicro:    answer.spacing.Microseconds(),
		Limit:           g.messageOf(g.notice(backend)),
	}, nil
}

// Report implements peerpb.DRPCLimitsServer.
func (s *Server) Report(_ context.Context, req *peerpb.ReportRequest) (*peerpb.ReportResponse, error) {
	g := s.gate
	g.applyReport(req.GetBackend(), g.usageOf(req.GetAsker(), req.GetUsage()))
	return new(peerpb.ReportResponse), nil
}

func (g *Gate) applyReport(backend string, usage Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rooms.Report(backend, usage, g.options.Clock())
}

// report tells the home of a brittle server what this instance has there, until nothing has changed meanwhile. What is lost on the way
// is told with the next question.
func (g *Gate) report(backend string) {
	for {
		g.mu.Lock()
		usage := g.usage(backend, 0)
		g.mu.Unlock()
		g.reportOnce(backend, usage)
		g.mu.Lock()
		s := g.stay(backend)
		s.reporting, s.stale = s.stale, false
		again := s.reporting
		g.mu.Unlock()
		if !again {
			return
		}
	}
}

func (g *Gate) reportOnce(backend string, usage Usage) {
	for _, home := range g.options.Homes(backend) {
		if home.ID() == g.options.Self {
			g.applyReport(backend, usage)
			return
		}
		if g.inBackoff(home.ID()) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		conn := g.options.Connect(home.PeerAddress())
		defer conn.Close()
		if _, err := peerpb.NewDRPCLimitsClient(conn).Report(ctx, &peerpb.ReportRequest{
			Backend: backend, Asker: string(g.options.Self), Usage: g.usageMessage(usage),
		}); err != nil {
			g.options.Log.WithError(err).WithFields(logrus.Fields{logs.Event: "usageNotReported", logs.Home: home.ID(), logs.Backend: backend}).
				Info("the home of a brittle backend server was not told that a request has ended")
		}
		return
	}
}

// usageKey tells apart two starts of an instance, whose messages are not in one order.
func (*Gate) usageKey(asker string, incarnation uint64) string {
	return fmt.Sprintf("%s/%x", asker, incarnation)
}

func (g *Gate) usageMessage(u Usage) *peerpb.Usage {
	return &peerpb.Usage{
		Incarnation: g.incarnation, Open: int32(u.open), Sequence: u.sequence, StayMicro: u.stay.Microseconds(), Rejected: u.rejected,
		Slots: int32(u.slots),
	}
}

func (g *Gate) usageOf(asker string, message *peerpb.Usage) Usage {
	return Usage{
		asker: g.usageKey(asker, message.GetIncarnation()), open: int(message.GetOpen()), sequence: message.GetSequence(),
		stay: time.Duration(message.GetStayMicro()) * time.Microsecond, rejected: message.GetRejected(),
		slots: int(message.GetSlots()),
	}
}

// Tell implements peerpb.DRPCLimitsServer.
func (s *Server) Tell(_ context.Context, req *peerpb.TellRequest) (*peerpb.TellResponse, error) {
	g := s.gate
	changed := g.merge(g.noticeOf(req.GetLimit()), req.GetTeller())
	cold := g.learnCold(req.GetLimit())
	if (changed || cold) && req.GetSpread() {
		go g.tellPeers(req.GetLimit().GetBackend())
	}
	return new(peerpb.TellResponse), nil
}

// spread has the home of a backend server tell all instances of a change. If no home answers, the others learn of it from
// the responses to their own requests.
func (g *Gate) spread(notice Notice) {
	for _, home := range g.options.Homes(notice.backend) {
		if home.ID() == g.options.Self {
			g.tellPeers(notice.backend)
			return
		}
		if g.inBackoff(home.ID()) {
			continue
		}
		if err := g.tell(home.PeerAddress(), notice, true); err != nil {
			g.backOff(home.ID(), notice.backend, err)
			continue
		}
		return
	}
}

// tellPeers tells all instances the newest notice about a backend server.
func (g *Gate) tellPeers(backend string) {
	notice := g.notice(backend)
	var group errgroup.Group
	group.SetLimit(maxTellConcurrency)
	for _, peer := range g.options.Peers() {
		if peer.ID() == g.options.Self {
			continue
		}
		group.Go(func() error { return g.tell(peer.PeerAddress(), notice, false) })
	}
	if err := group.Wait(); err != nil {
		g.options.Log.WithError(err).WithFields(logrus.Fields{logs.Event: "limitNotTold", logs.Backend: backend}).
			Info("an instance could not be told about the limit of a backend server")
	}
}

func (g *Gate) tell(address string, notice Notice, spread bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	conn := g.options.Connect(address)
	defer conn.Close()
	_, err := peerpb.NewDRPCLimitsClient(conn).Tell(ctx, &peerpb.TellRequest{
		Limit: g.messageOf(notice), Teller: string(g.options.Self), Spread: spread,
	})
	return err
}

func (g *Gate) notice(backend string) Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.newest(backend)
}

// messageOf encodes a notice with its age, so that clock differences do not matter.
func (g *Gate) messageOf(n Notice) *peerpb.LimitNotice {
	message := &peerpb.LimitNotice{
		Backend: n.backend, PerSecond: n.terms.perSecond, Lifted: !n.terms.limited, Brittle: n.terms.brittle,
		AgeMicro: g.options.Clock().Sub(n.asOf).Microseconds(),
	}
	if cold, now := g.options.Cold(n.backend), g.options.Clock(); cold.active(now) {
		message.ColdLeftMicro, message.ColdPerSecond = cold.until.Sub(now).Microseconds(), cold.mostPerSecond
	}
	return message
}

// coldOf decodes the limit of a cold backend server.
func (g *Gate) coldOf(message *peerpb.LimitNotice) Cold {
	left := time.Duration(max(message.GetColdLeftMicro(), 0)) * time.Microsecond
	return NewCold(g.options.Clock().Add(left), message.GetColdPerSecond())
}

// learnCold records that a backend server is cold if another instance says so, and reports whether that is new.
func (g *Gate) learnCold(message *peerpb.LimitNotice) bool {
	cold := g.coldOf(message)
	return cold.active(g.options.Clock()) && g.options.RecordCold(message.GetBackend(), cold.until)
}

func (g *Gate) noticeOf(message *peerpb.LimitNotice) Notice {
	asOf := g.options.Clock().Add(-time.Duration(max(message.GetAgeMicro(), 0)) * time.Microsecond)
	notice := NewNotice(message.GetBackend(), max(message.GetPerSecond(), 0), asOf)
	if message.GetLifted() {
		notice = NewLiftedNotice(message.GetBackend(), asOf)
	}
	return notice.WithBrittle(message.GetBrittle())
}
