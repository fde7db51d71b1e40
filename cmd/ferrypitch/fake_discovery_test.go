package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// listEntry returns the entry of a host in a host list.
func (s *testSystem) listEntry(i int, state string) string {
	h := s.hosts[i]
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"z","model":"m","pod_group":2,"state":%q,"capacity_hint":1,`+
		`"boot_ms":0,"role":%q}`, h.name, h.address(), state, h.role())
}

// sendList sends an update of the host list and waits until the program has logged it.
func (s *testSystem) sendList(rev int, entries ...string) {
	s.listLines <- fmt.Sprintf(`{"rev":%d,"all":false,"targets":[%s]}`, rev, strings.Join(entries, ","))
	s.awaitLog(fmt.Sprintf(`"rev":%d,`, rev))
}

// serveDiscovery serves watch requests. Each line goes to one of the open watches; an empty line every second is the heartbeat.
func (s *testSystem) serveDiscovery(l net.Listener, lines <-chan string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			line, err := bufio.NewReader(conn).ReadString('\n')
			if err != nil {
				return // the program closed the connection before it sent a request
			}
			_, since, _ := strings.Cut(line, "since=")
			s.watchVersions <- strings.Fields(since + " ")[0]
			if s.discoverySilent {
				discard(conn)
				return
			}
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			closed := make(chan bool)
			go func() {
				discard(conn)
				close(closed)
			}()
			for heartbeat := time.NewTicker(time.Second); ; {
				text := ""
				select {
				case text = <-lines:
				case <-heartbeat.C:
				case <-closed:
					s.watchEnded <- true
					return
				}
				if _, err := fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(text)+1, text); err != nil {
					return
				}
			}
		}()
	}
}

// secondWatchVersion waits for the second watch and returns the version after which it requests changes.
func (s *testSystem) secondWatchVersion() string {
	<-s.watchVersions
	return <-s.watchVersions
}

// A connection that is closed before it sends a request does not count as a watch, and the next connection is served.
func TestDiscoveryFixtureOutlivesAnEmptyConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	system := &testSystem{watchVersions: make(chan string, 1), watchEnded: make(chan bool, 1)}
	go system.serveDiscovery(listener, nil)
	empty, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, empty.Close())
	watch, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer watch.Close()
	fmt.Fprint(watch, "GET /watch?since=7 HTTP/1.1\r\n")
	require.Equal(t, "7", <-system.watchVersions)
}
