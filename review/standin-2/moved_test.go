package driver

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// promptBytes is the size of the bodies. The configuration allows 4,194,304 bytes.
const promptBytes = 100_000

// sendPrompt sends a generation with a body, in chunks or with its length, and returns the number of whole events.
func sendPrompt(front, key string, chunked bool) (attempt, hash string, status, events int, whole bool, err error) {
	attempt = newAttemptID()
	body := []byte(strings.Repeat(attempt, promptBytes/len(attempt)))
	sum := sha256.Sum256(body)
	hash = hex.EncodeToString(sum[:8])
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return attempt, hash, 0, 0, false, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	head := fmt.Sprintf("POST /letter/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 30000\r\nX-Credential: %s\r\n"+
		"X-Model: m\r\nX-Token-Count: 3000,600\r\nX-Prompt-Prefix: 5c1e07a2:80,%s:2920\r\n", host, attempt, key, attempt)
	if chunked {
		_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", head)
		for at := 0; at < len(body); at += 8 << 10 {
			part := body[at:min(at+8<<10, len(body))]
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
		}
		_, _ = conn.Write([]byte("0\r\n\r\n"))
	} else {
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
	if err != nil {
		return attempt, hash, 0, 0, false, err
	}
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return attempt, hash, resp.StatusCode, events, err.Error() == "EOF" && resp.StatusCode == http.StatusOK, err
		}
		if line == "\n" {
			events++
		}
	}
}

// playMoved empties an engine while it runs generations with long bodies.
func playMoved(r *record, trouble bool) (int, error) {
	const key = "xd9dnn2ctnfzs989anu6"
	c, err := newCluster(r)
	if err != nil {
		return 0, err
	}
	defer c.stop()
	cfg := newConfig()
	cfg.addService("assistant")
	cfg.Services[0].Engine = map[string]any{
		"slots": 24, "kvCapacity": 34338, "kvTokenBytes": 163840, "linkMbps": 24000.0, "moves": true, "backups": true, "stride": 4, "most": 12,
		"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]string{{"name": "m"}},
	}
	cfg.addRoute("letter", "/letter/", "streaming", "assistant", 39000, 1)
	cfg.Routes[0].GapTargetMs, cfg.Routes[0].Sticky, cfg.Routes[0].TargetLatencyMs = 180, true, 1800
	cfg.Tenants = []tenant{{Name: "huka270", APIKeys: []string{key}}}
	cfg.publish(c.store)
	fleet := &engineFleet{cluster: c, events: 150, engines: make(map[string]*modelEngine), copies: make(map[string]copyOfRun)}
	var engines []*modelEngine
	for n, zone := range []string{"attiki-a", "attiki-a", "attiki-b", "attiki-b"} {
		e, err := fleet.start(fmt.Sprintf("i-%08x", 0x7f3a91c0+n), "assistant", zone)
		if err != nil {
			return 0, err
		}
		engines = append(engines, e)
	}
	if err := c.addInstances("attiki-a.attiki", "attiki-b.attiki", "attiki-a.attiki"); err != nil {
		return 0, err
	}
	if err := c.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var group sync.WaitGroup
	hashes := make(map[string]string)
	whole, broken := 0, 0
	for n := range 24 {
		i, chunked := c.instances[n%len(c.instances)], n%2 == 0
		group.Go(func() {
			attempt, hash, status, events, ok, err := sendPrompt(i.front(), key, chunked)
			r.printf("client got %d from %s for %s, %d pieces, whole: %t (%v); it was sent in chunks: %t, and its body has the hash %s",
				status, i.name, attempt, events, ok, err, chunked, hash)
			mu.Lock()
			defer mu.Unlock()
			hashes[attempt] = hash
			if ok && events == fleet.events {
				whole++
			} else {
				broken++
				r.say("%s, sent in chunks: %t, is not whole: %d, %d of %d pieces (%v)", attempt, chunked, status, events, fleet.events, err)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		if err := engines[0].report("draining"); err != nil {
			return 0, err
		}
	}
	group.Wait()
	changed, moved := 0, 0
	fleet.mu.Lock()
	for _, ran := range fleet.ran {
		if ran.kvFrom != "" {
			moved++
		}
		if ran.hash != hashes[ran.attempt] {
			changed++
			r.say("%s ran %s with a body of %d bytes and hash %s; the client sent %s (Kv-From %q, Last-Event-Id %q)",
				ran.engine, ran.attempt, ran.bytes, ran.hash, hashes[ran.attempt], ran.kvFrom, ran.position)
		}
	}
	fleet.mu.Unlock()
	r.say("%d generations: %d whole, %d not; %d runs went on elsewhere, %d requests ran with a changed body", whole+broken, whole, broken, moved, changed)
	switch {
	case whole == 0 && broken == 0:
		return 0, errors.New("no generation was sent")
	case changed > 0:
		return statusBroken, nil
	default:
		return statusHeld, nil
	}
}
