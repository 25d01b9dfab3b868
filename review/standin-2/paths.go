package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

func playPaths(r *record, trouble bool) (int, error) {
	c, err := newCluster(r)
	if err != nil {
		return 0, err
	}
	defer c.stop()
	cfg := newConfig()
	cfg.addService("portal")
	cfg.addRoute("lookup", "/lookup/", "idempotent", "portal", 6000, 2)
	cfg.Routes[0].AuthExempt = true
	cfg.publish(c.store)
	rep, err := startReplica(c, "i-7f3a91c0", "portal", "attiki-a", 6, 24, time.Millisecond, 0)
	if err != nil {
		return 0, err
	}
	rep.uris = make(map[string]string)
	if err := c.addInstances("attiki-a.attiki"); err != nil {
		return 0, err
	}
	if err := c.startAll(); err != nil {
		return 0, err
	}
	for _, uri := range []string{"/lookup/a;b=c", "/lookup/a,b", "/lookup/%E2%82%AC", "/lookup/%e2%82%ac", "/lookup/a+b", "/lookup/~x", "/lookup/(x)", "/lookup/a!b*'c",
		"/lookup/%2e%2e/x", "/lookup//x", "/lookup/./x", "/lookup/../lookup/x", "/lookup/x?", "/lookup/x??", "/lookup/x?a=b&c", "/lookup/x?x=%zz", "/lookup/a|b", "/lookup/x?q=a|b", "/lookup/a[b]", "/lookup/a{b}",
		"/lookup/a^b", "/lookup/a`b", "/lookup/a\"b", "/lookup/a<b>", "/lookup/a\\b", "/lookup/\xe2\x82\xac", "/lookup/%41", "/lookup/%2F", "/lookup/a:b@c", "/lookup/$&=", "/lookup/x?q=\xe2\x82\xac", "/lookup/x?a=b;c=d", "/lookup/x?q=a+b%20c"} {
		id := newAttemptID()
		conn, err := net.Dial("tcp", c.instances[0].front())
		if err != nil {
			return 0, err
		}
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\n\r\n", uri, host, id)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		status := 0
		if err == nil {
			status = resp.StatusCode
		}
		conn.Close()
		rep.mu.Lock()
		got := rep.uris[id]
		rep.mu.Unlock()
		mark := ""
		if got != uri {
			mark = "DIFFERENT"
		}
		r.say("%q -> %q %d %v %s", uri, got, status, err, mark)
	}
	return 0, nil
}
