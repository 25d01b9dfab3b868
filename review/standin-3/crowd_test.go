package standin

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playCrowd has clients without a key send the heads of requests of legal size, made of many short header lines, and not their bodies. Others try
// to open new connections to the same machine meanwhile.
func playCrowd(p *play) (broken bool, err error) {
	const (
		machines = 3
		held     = 600 // connections, from two addresses
		lines    = 20
		callers  = 8
		contact  = 4 * time.Second
		calm     = 3 * time.Second
		lasts    = 15 * time.Second
		pause    = 250 * time.Millisecond
	)
	site, err := newSite(p, machines)
	if err != nil {
		return false, err
	}
	defer site.system.stop()
	m := site.system.machines[0]
	began := time.Now()
	probe := &crowdProbe{machine: m, record: p.record}
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() { probe.call(fmt.Sprintf("127.0.3.%d", 1+n), pause, began.Add(calm+lasts)) })
	}
	group.Go(func() { probe.watchReady(began.Add(calm + lasts)) })
	time.Sleep(calm)
	if p.trouble {
		p.record.say("%.3f s: %d connections to %s send a head and no body", p.record.at(time.Now()), held, m.name)
		for n := range held {
			conn, err := dialFrom(fmt.Sprintf("127.0.4.%d", 1+n%2), m.address(frontOffset))
			if err != nil {
				p.record.log("the connection %d of the crowd fails: %v", n, err)
				continue
			}
			defer conn.Close()
			head := fmt.Sprintf("POST /charge/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 600\r\n", host, newID())
			for line := range lines {
				head += fmt.Sprintf("a%d:\r\n", line)
			}
			if _, err := conn.Write([]byte(head + "\r\n")); err != nil {
				p.record.log("the connection %d of the crowd fails: %v", n, err)
			}
		}
		p.record.say("%.3f s: the crowd has sent its heads", p.record.at(time.Now()))
	}
	group.Wait()
	from, longest := probe.longestSpan()
	p.record.say("%d of %d new connections were taken and answered", probe.answered, probe.tried)
	if longest > 0 {
		p.record.say("the longest span in which none was while the machine said that it was ready: %.3f s, from %.3f s", longest.Seconds(), p.record.at(from))
	}
	return longest > contact, nil
}

// crowdProbe records which new connections to a machine are taken, and when the machine says that it is ready.
type crowdProbe struct {
	machine *machine
	record  *record

	mu              sync.Mutex
	tried, answered int
	tries           []probed
}

// probed is the result of one new connection, or of one look at whether the machine is ready.
type probed struct {
	at    time.Time
	ok    bool
	ready bool // it is a look
}

func dialFrom(source, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return dialer.Dial("tcp", address)
}

// call opens new connections from an address, with one request on each.
func (c *crowdProbe) call(source string, pause time.Duration, until time.Time) {
	for time.Now().Before(until) {
		at := time.Now()
		answer := c.callOnce(source)
		c.record.log("client %s, new connection: %s", source, answer)
		c.mu.Lock()
		c.tried++
		ok := strings.HasPrefix(answer, "answered 200")
		if ok {
			c.answered++
		}
		c.tries = append(c.tries, probed{at: at, ok: ok})
		c.mu.Unlock()
		time.Sleep(pause)
	}
}

func (c *crowdProbe) callOnce(source string) string {
	conn, err := dialFrom(source, c.machine.address(frontOffset))
	if err != nil {
		return "not connected: " + err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	head := "GET /lookup/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\nX-Credential: %s\r\nConnection: close\r\n\r\n"
	if _, err := fmt.Fprintf(conn, head, host, newID(), key); err != nil {
		return "not sent: " + err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	_ = resp.Body.Close()
	return fmt.Sprintf("answered %d", resp.StatusCode)
}

// watchReady asks once a second whether the machine is ready, as the platform does.
func (c *crowdProbe) watchReady(until time.Time) {
	for time.Now().Before(until) {
		ok := c.machine.ready()
		c.record.log("ready: %v", ok)
		c.mu.Lock()
		c.tries = append(c.tries, probed{at: time.Now(), ok: ok, ready: true})
		c.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// longestSpan returns the longest span between two new connections that were taken, or two looks that did not find the machine ready.
func (c *crowdProbe) longestSpan() (from time.Time, longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var begin time.Time // of the span; the first try that was not answered
	for _, try := range c.tries {
		switch {
		case try.ready && try.ok:
		case try.ready || try.ok:
			begin = time.Time{}
		case begin.IsZero():
			begin = try.at
		}
		if !begin.IsZero() && try.at.Sub(begin) > longest {
			from, longest = begin, try.at.Sub(begin)
		}
	}
	return from, longest
}
