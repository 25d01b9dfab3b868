package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	orderHandleTime  = 5 * time.Second // for which a copy is kept
	orderPrefillTime = 40 * time.Millisecond
)

// orderEngine is the stand-in for an engine whose answers are written byte by byte, so that they can end in all ways in which those of a process
// can: with or without framing, in order or by a reset.
type orderEngine struct {
	id, dataCentre string
	play           *orderPlay
	listener       net.Listener
	proxy          *proxy
	born           time.Time
	ended          chan struct{} // closed at the end of the process
	endsInOrder    bool          // the open connections are closed in order at the end of the process
	random         *orderRandom

	mu       sync.Mutex
	draining bool
	gone     bool
	active   map[string]*orderRun
	stopped  map[string]orderCopy // runs that were stopped here for a move, by handle
	copies   map[string]orderCopy // of other engines, by address and handle
	streams  sync.WaitGroup
}

// orderCopy is the memory of a run that an engine holds for another.
type orderCopy struct {
	run   *orderRun
	made  int // events
	until time.Time
}

// orderRandom is a source of random numbers for concurrent use.
type orderRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (r *orderRandom) chance(share float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < share
}

func (r *orderRandom) between(low, high time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return low + time.Duration(r.random.Int64N(int64(high-low)))
}

// newOrderEngine starts an engine that is reached at an address. If that is taken meanwhile, it gets another one.
func newOrderEngine(p *orderPlay, id, dataCentre, address string, seed uint64) (*orderEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &orderEngine{
		id: id, dataCentre: dataCentre, play: p, listener: listener, born: time.Now(), ended: make(chan struct{}),
		random: &orderRandom{random: rand.New(rand.NewPCG(seed, 5))}, active: make(map[string]*orderRun),
		stopped: make(map[string]orderCopy), copies: make(map[string]orderCopy),
	}
	e.endsInOrder = p.modes.has(orderModeExit) && e.random.chance(0.5)
	if e.proxy, err = newProxy(address, listener.Addr().String()); errors.Is(err, syscall.EADDRINUSE) {
		e.proxy, err = newProxy("127.0.0.1:0", listener.Addr().String())
	}
	if err != nil {
		return nil, err
	}
	e.proxy.cutOff(p.cluster.partitionOf)
	go e.accept()
	return e, nil
}

func (e *orderEngine) address() string { return e.proxy.address() }

func (e *orderEngine) storeEntry(state string) map[string]any {
	return map[string]any{
		"coldLeftMs": 0, "service": "llm", "address": e.address(), "zone": e.dataCentre, "slots": slots, "state": state,
		"sequence": 1, "born": e.born.UnixMilli(),
	}
}

// exit ends the process of the engine. Streams end after a whole event, in order or by a reset; all other connections are reset.
func (e *orderEngine) exit() {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	_ = e.listener.Close()
	_ = e.proxy.listener.Close()
	close(e.ended)
	e.streams.Wait()
	time.Sleep(20 * time.Millisecond) // The proxy passes on what the streams have written.
	e.proxy.resetAll()
}

func (e *orderEngine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

// serve serves the one request of a connection.
func (e *orderEngine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	req, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	client := e.proxy.clientOf(conn.RemoteAddr().String())
	switch {
	case req.URL.Path == "/health":
		e.respond(conn, http.StatusOK, "X-Replica-Id: "+e.id+"\r\n", "")
	case req.URL.Path == "/kv-move":
		e.move(conn, client, body)
	case strings.HasPrefix(req.URL.Path, "/kv-handle/"):
		e.drop(strings.TrimPrefix(req.URL.Path, "/kv-handle/"))
		e.respond(conn, http.StatusOK, "", "")
	case req.Header.Get("X-Attempt-Id") == "":
		e.respond(conn, http.StatusNotFound, "", "")
	case req.Header.Get("X-Expect-Replica") != e.id:
		e.respond(conn, http.StatusMisdirectedRequest, "", "")
	default:
		e.generate(conn, reader, req, client)
	}
}

// respond answers with a length and closes the connection.
func (e *orderEngine) respond(conn net.Conn, status int, header, body string) {
	e.mu.Lock()
	if e.draining {
		header += "Server-Leaving: 1\r\n"
	}
	e.mu.Unlock()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, http.StatusText(status), header,
		len(body), body) // The caller may have left.
}

// endConn ends a connection in order or by a reset.
func endConn(conn net.Conn, inOrder bool) {
	if tcp, ok := conn.(*net.TCPConn); ok && !inOrder {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// generate runs a request from its beginning, or from a copy.
func (e *orderEngine) generate(conn net.Conn, reader *bufio.Reader, req *http.Request, client string) {
	s := e.play.story(req.Header.Get("X-Attempt-Id"))
	run, answer := e.start(s, req, client)
	if run == nil {
		switch answer {
		case orderAnswerReset:
			endConn(conn, false)
		default:
			e.respond(conn, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", "")
		}
		return
	}
	defer e.streams.Done()
	defer func() {
		e.mu.Lock()
		if e.active[s.id] == run {
			delete(e.active, s.id)
		}
		e.mu.Unlock()
		close(run.quiet)
	}()
	if run.parent == nil {
		time.Sleep(orderPrefillTime)
	}
	framing := "Transfer-Encoding: chunked\r\n"
	if run.unframed {
		framing = ""
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal-%s\r\n%sConnection: close\r\n\r\n",
		s.id, e.id, framing); err != nil {
		e.play.endRun(run, orderEndCallerLeft, false)
		return
	}
	left := make(chan struct{})
	go func() {
		_, _ = reader.ReadByte() // It returns when the connection ends.
		close(left)
	}()
	end, inOrder := e.stream(conn, run, left)
	e.play.endRun(run, end, inOrder)
	endConn(conn, inOrder)
}

// start admits a run. It returns nil and how the request is answered if it is not run.
func (e *orderEngine) start(s *orderStory, req *http.Request, client string) (*orderRun, orderAnswer) {
	from, position := req.Header.Get("Kv-From"), req.Header.Get("Last-Event-Id")
	last, _ := strconv.Atoi(position)
	modes := e.play.modes
	e.mu.Lock()
	defer e.mu.Unlock()
	var parent *orderRun
	made, answer := 0, orderAnswerOK
	switch {
	case e.gone || len(e.active) >= slots || e.active[s.id] != nil:
		answer = orderAnswerFull
	case from != "":
		parent, made = e.copyOf(from, s.id)
		switch {
		case parent == nil:
			answer = orderAnswerNoCopy
		case modes.has(orderModeNoResume) && e.random.chance(0.12):
			answer = orderAnswerFull
		case modes.has(orderModeResetResume) && e.random.chance(0.08):
			answer = orderAnswerReset
		}
		if parent != nil && answer != orderAnswerFull && !e.play.use(from) {
			answer = orderAnswerNoCopy
		}
	}
	e.play.resumed(s, e, client, from, position, answer)
	if answer != orderAnswerOK {
		return nil, answer
	}
	begin := last
	if modes.has(orderModePosition) && parent != nil {
		begin = max(last, made)
	}
	run := e.play.newRun(s, e, client, parent, begin)
	if ms, err := strconv.ParseInt(req.Header.Get("X-Deadline-Ms"), 10, 64); err == nil {
		run.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	_, outputTokens, _ := strings.Cut(req.Header.Get("X-Token-Count"), ",")
	run.total, _ = strconv.Atoi(outputTokens)
	e.active[s.id] = run
	e.streams.Add(1)
	return run, orderAnswerOK
}

// copyOf returns the run from whose memory a request may go on here, nil for none, and how many events the memory holds. The lock must be held.
func (e *orderEngine) copyOf(from, id string) (run *orderRun, made int) {
	if c, ok := e.copies[from]; ok && c.run.story.id == id && time.Now().Before(c.until) {
		return c.run, c.made
	}
	address, handle, _ := strings.Cut(from, "/")
	if c, ok := e.stopped[handle]; ok && address == e.address() && c.run.story.id == id && time.Now().Before(c.until) {
		return c.run, c.made
	}
	return nil, 0
}

// stream sends the events of a run until its last one, or until something ends it. It returns what did, and whether the connection ends in order.
func (e *orderEngine) stream(conn net.Conn, run *orderRun, left <-chan struct{}) (end orderEnd, inOrder bool) {
	ticker := time.NewTicker(run.story.pace)
	defer ticker.Stop()
	deadline := time.NewTimer(time.Until(run.deadline))
	defer deadline.Stop()
	modes := e.play.modes
	for run.made < run.total {
		select {
		case <-run.stop:
			return orderEndStopped, !modes.has(orderModeStopReset) || e.random.chance(0.7)
		case <-left:
			return orderEndCallerLeft, true
		case <-e.ended:
			return orderEndExit, e.endsInOrder
		case <-deadline.C:
			return orderEndDeadline, modes.has(orderModeDeadline) && e.random.chance(0.5)
		case <-ticker.C:
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", run.made+1, run.story.id, run.number)
		if !run.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		e.play.make(run)
		if _, err := io.WriteString(conn, event); err != nil {
			return orderEndCallerLeft, true
		}
	}
	if !run.unframed {
		_, _ = io.WriteString(conn, "0\r\n\r\n") // The caller may have left.
	}
	return orderEndWhole, true
}

// move copies the memory of a run to another engine and stops it if asked to.
func (e *orderEngine) move(conn net.Conn, client string, body []byte) {
	var order struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.Unmarshal(body, &order); err != nil {
		e.respond(conn, http.StatusBadRequest, "", "")
		return
	}
	s, modes, target := e.play.story(order.ID), e.play.modes, e.play.find(order.To)
	e.mu.Lock()
	run := e.active[order.ID]
	busy := run != nil && run.moving
	if run != nil && !busy {
		run.moving = true
	}
	e.mu.Unlock()
	o := e.play.ordered(s, e, client, target, run, order.Last)
	switch {
	case run == nil:
		e.answerMove(conn, o, orderAnswerNoRun, "")
		return
	case busy:
		e.answerMove(conn, o, orderAnswerBusy, "")
		return
	}
	if order.Last {
		close(run.stop)
		<-run.quiet
	}
	handle, made, stopped := e.play.handle(run)
	if order.Last && !stopped {
		e.answerMove(conn, o, orderAnswerNoRun, "") // It has ended by itself meanwhile.
		return
	}
	time.Sleep(e.random.between(10*time.Millisecond, 120*time.Millisecond))
	e.mu.Lock()
	run.moving = false
	if stopped {
		e.stopped[handle] = orderCopy{run, made, time.Now().Add(orderHandleTime)}
	}
	gone := e.gone
	e.mu.Unlock()
	content := fmt.Sprintf(`{"handle":%q,"created":%d}`, handle, made)
	noRoom := modes.has(orderModeNoRoom) && e.random.chance(0.1)
	switch {
	case gone:
		e.answerMove(conn, o, orderAnswerReset, "")
	case !noRoom && target != nil && target != e && target.keep(e.address()+"/"+handle, run, made):
		e.answerMove(conn, o, orderAnswerOK, content)
	case order.Last:
		e.answerMove(conn, o, orderAnswerFullHandle, content)
	default:
		e.answerMove(conn, o, orderAnswerFull, "")
	}
}

// answerMove answers an order, unless the answer is lost.
func (e *orderEngine) answerMove(conn net.Conn, o *orderOrder, answer orderAnswer, content string) {
	modes := e.play.modes
	if modes.has(orderModeLate) && e.random.chance(0.12) {
		select {
		case <-e.ended:
			answer = orderAnswerReset
		case <-time.After(e.random.between(200*time.Millisecond, 2500*time.Millisecond)):
		}
	}
	lost := modes.has(orderModeLost) && e.random.chance(0.1)
	e.play.answered(o, answer, lost)
	switch {
	case lost || answer == orderAnswerReset:
		endConn(conn, e.random.chance(0.5))
	case answer == orderAnswerOK:
		e.respond(conn, http.StatusOK, "Content-Type: application/json\r\n", content)
	case answer == orderAnswerNoRun:
		e.respond(conn, http.StatusNotFound, "", "")
	case answer == orderAnswerBusy:
		e.respond(conn, http.StatusConflict, "", "")
	default:
		e.respond(conn, http.StatusServiceUnavailable, "Content-Type: application/json\r\n", content)
	}
}

// keep keeps a copy. It returns false if the engine is gone.
func (e *orderEngine) keep(from string, run *orderRun, made int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return false
	}
	e.copies[from] = orderCopy{run, made, time.Now().Add(orderHandleTime)}
	return true
}

// drop frees what is kept under a handle, here and at other engines.
func (e *orderEngine) drop(handle string) {
	e.mu.Lock()
	delete(e.stopped, handle)
	e.mu.Unlock()
	for _, other := range e.play.engineList() {
		other.mu.Lock()
		delete(other.copies, e.address()+"/"+handle)
		other.mu.Unlock()
	}
}
