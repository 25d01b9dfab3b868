package fakes

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdSources is the number of loopback addresses from which a crowd connects.
	crowdSources = 4
	// crowdDialTimeout and crowdWriteTimeout bound the time that one caller of a crowd takes for a connection and for a write.
	crowdDialTimeout  = 2 * time.Second
	crowdWriteTimeout = time.Second
)

// Crowd is a number of callers, each with one connection, that keep to no limits. Their connections may be refused or closed at any time.
type Crowd struct {
	conns []net.Conn
	read  sync.WaitGroup
}

// OpenCrowd connects count callers to an address, from several loopback addresses. Connections that are refused are left out.
func OpenCrowd(address string, count int) *Crowd {
	c := &Crowd{conns: make([]net.Conn, count)}
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			source := &net.TCPAddr{IP: net.IPv4(127, 250, 0, byte(1+i%crowdSources))}
			dialer := net.Dialer{Timeout: crowdDialTimeout, LocalAddr: source}
			if conn, err := dialer.DialContext(context.Background(), "tcp", address); err == nil {
				c.conns[i] = conn
			}
		})
	}
	group.Wait()
	for _, conn := range c.conns {
		if conn != nil {
			c.read.Go(func() { _, _ = io.Copy(io.Discard, conn) }) // Until the connection is closed.
		}
	}
	return c
}

// Send writes a part of a request on every connection. The connections of callers that cannot write are left as they are.
func (c *Crowd) Send(part func(caller int) string) {
	var group sync.WaitGroup
	for i, conn := range c.conns {
		if conn == nil {
			continue
		}
		group.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout)) // A failure shows at the write.
			_, _ = io.WriteString(conn, part(i))
		})
	}
	group.Wait()
}

// Close closes all connections.
func (c *Crowd) Close() {
	for _, conn := range c.conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
	c.read.Wait()
}

// HeadForm is a form of the header lines of a request.
type HeadForm struct {
	Name string
	// Query is appended to the path of the request, and Lines to its header. The last line has its end.
	Query, Lines string
}

// HeadForms returns forms of a request head of about the given number of bytes that take much memory or are odd otherwise.
func HeadForms(bytes int) []HeadForm {
	var names strings.Builder
	for i := 0; names.Len() < bytes; i++ {
		fmt.Fprintf(&names, "%s:\r\n", shortName(i))
	}
	return []HeadForm{
		{Name: "oneLetterLines", Lines: strings.Repeat("a:\r\n", bytes/len("a:\r\n"))},
		{Name: "shortNames", Lines: names.String()},
		{Name: "longName", Lines: strings.Repeat("n", bytes) + ": v\r\n"},
		{Name: "longValue", Lines: "Padding: " + strings.Repeat("v", bytes) + "\r\n"},
		{Name: "repeatedName", Lines: strings.Repeat("Accept: b\r\n", bytes/len("Accept: b\r\n"))},
		{Name: "queryParameters", Query: "?" + strings.Repeat("a&", bytes/len("a&"))},
		{Name: "longRequestLine", Query: "?" + strings.Repeat("p", bytes)},
	}
}

// shortName returns the ith of the short names of header fields that differ also without regard to case.
func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_|~"
	name := ""
	for ; i >= 0; i = i/len(letters) - 1 {
		name += string(letters[i%len(letters)])
	}
	return name
}
