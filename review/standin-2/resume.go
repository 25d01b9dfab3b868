package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	longPieces    = 80
	longPieceSize = 1800 // the largest piece on the sheet's site file
	longGap       = 25 * time.Millisecond
)

// serveLong answers with a chunked stream, from the event after Last-Event-Id.
func (r *replica) serveLong(conn net.Conn, id, lastEventID string) {
	first := 0
	if last, err := strconv.Atoi(lastEventID); err == nil {
		first = last + 1
	}
	r.record.printf("%s runs %s with Last-Event-Id %q, from piece %d", r.id, id, lastEventID, first)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id, id)
	for n := first; n < longPieces; n++ {
		time.Sleep(longGap)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", longPieceSize))
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			r.record.printf("%s: the connection of %s ended at piece %d", r.id, id, n)
			return
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// readLong sends a client attempt and returns the IDs of the whole events that came. Whole is true if the answer is complete.
func readLong(front, key, lastEventID string) (attempt string, status int, ids []int, whole bool, err error) {
	attempt = newAttemptID()
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return attempt, 0, nil, false, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	position := ""
	if lastEventID != "" {
		position = "Last-Event-Id: " + lastEventID + "\r\n"
	}
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 9000\r\nX-Credential: %s\r\n%sContent-Length: 0\r\n\r\n",
		streamPath, host, attempt, key, position)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
	if err != nil {
		return attempt, 0, nil, false, err
	}
	body := bufio.NewReader(resp.Body)
	current := -1
	for {
		line, err := body.ReadString('\n')
		if err != nil {
			return attempt, resp.StatusCode, ids, errors.Is(err, io.EOF) && resp.StatusCode == http.StatusOK, err
		}
		switch {
		case strings.HasPrefix(line, "id: "):
			if current, err = strconv.Atoi(strings.TrimSpace(line[4:])); err != nil {
				return attempt, resp.StatusCode, ids, false, err
			}
		case line == "\n" && current >= 0:
			ids = append(ids, current)
			current = -1
		}
	}
}

// playResume kills one of three instances while it passes streams on that may be resumed. The clients whose connection broke go on at another
// instance.
func playResume(r *record, trouble bool) (int, error) {
	const key = "xd9dnn2ctnfzs989anu6"
	c, err := newCluster(r)
	if err != nil {
		return 0, err
	}
	defer c.stop()
	cfg := newConfig()
	cfg.addService("portal")
	cfg.addRoute("guide", "/letter/", "streaming", "portal", 9000, 2)
	cfg.Routes[0].GapTargetMs, cfg.Routes[0].Resumable = 180, true
	cfg.Tenants = []tenant{{Name: "huka270", APIKeys: []string{key}}}
	cfg.publish(c.store)
	for n, zone := range []string{"split-a", "rijeka-b", "osijek-a"} {
		rep, err := startReplica(c, fmt.Sprintf("i-%08x", 0x7f3a91c0+n), "portal", zone, 24, 24, 0, 0)
		if err != nil {
			return 0, err
		}
		rep.long = true
	}
	if err := c.addInstances("split-a.jadran", "rijeka-b.jadran", "osijek-a.panonija"); err != nil {
		return 0, err
	}
	if err := c.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	streams, whole, resumed, twice, lost := 0, 0, 0, 0, 0
	var group sync.WaitGroup
	began := time.Now()
	killed := false
	for n := 0; time.Since(began) < 10*time.Second; n++ {
		if trouble && !killed && time.Since(began) > 4*time.Second {
			killed = true
			go func() {
				c.instances[0].kill()
				time.Sleep(restartDelay)
				_ = c.instances[0].start()
			}()
		}
		at := n % len(c.instances)
		group.Go(func() {
			attempt, status, ids, ok, err := readLong(c.instances[at].front(), key, "")
			r.printf("%s from %s: %d, %d pieces, whole: %t (%v)", attempt, c.instances[at].name, status, len(ids), ok, err)
			mu.Lock()
			streams++
			mu.Unlock()
			if ok && len(ids) == longPieces {
				mu.Lock()
				whole++
				mu.Unlock()
				return
			}
			if len(ids) == 0 {
				mu.Lock()
				lost++ // Nothing came, so that there is nothing to go on from.
				mu.Unlock()
				return
			}
			last := ids[len(ids)-1]
			other := c.instances[1+n%2]
			again, status, more, ok, err := readLong(other.front(), key, strconv.Itoa(last))
			r.say("%s broke off after piece %d; %s goes on at %s with Last-Event-Id %d: %d, %d pieces, the first one %d, whole: %t (%v)",
				attempt, last, again, other.name, last, status, len(more), append(more, -1)[0], ok, err)
			mu.Lock()
			defer mu.Unlock()
			resumed++
			if len(more) > 0 && more[0] <= last {
				twice++
			}
		})
		time.Sleep(150 * time.Millisecond)
	}
	group.Wait()
	r.say("%d streams: %d whole at once, %d broken off before a piece came, %d resumed, of these %d got pieces twice", streams, whole, lost, resumed, twice)
	switch {
	case whole == 0 || trouble && resumed == 0:
		return 0, errors.New("no stream was served, or none was resumed")
	case twice > 0:
		return statusBroken, nil
	default:
		return statusHeld, nil
	}
}
