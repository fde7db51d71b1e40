package metrics

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Endpoint is where a process serves its metrics: a TCP port on the machine's address, and a path. The zero value means that
// metrics are not served. It implements flag.Value.
type Endpoint struct {
	Port int
	Path string // begins with a slash
}

// errAlreadySet reports that the flag was given twice.
var errAlreadySet = errors.New("given twice")

// ParseEndpoint parses PORT/PATH, for example 9464/metrics.
func ParseEndpoint(text string) (Endpoint, error) {
	portText, path, found := strings.Cut(text, "/")
	port, err := strconv.ParseUint(portText, 10, 16)
	switch {
	case err != nil || port == 0:
		return Endpoint{}, fmt.Errorf("%.40q: expected a port from 1 to 65535 before the path", text)
	case !found || path == "" || strings.ContainsAny(path, " ?#%\r\n"):
		return Endpoint{}, fmt.Errorf("%.40q: expected PORT/PATH, for example 9464/metrics", text)
	}
	return Endpoint{Port: int(port), Path: "/" + path}, nil
}

// IsSet reports whether the endpoint is not the zero value.
func (e *Endpoint) IsSet() bool { return e.Port != 0 }

// String implements flag.Value.
func (e *Endpoint) String() string {
	if e == nil || !e.IsSet() {
		return ""
	}
	return strconv.Itoa(e.Port) + e.Path
}

// Set implements flag.Value. It returns an error if the endpoint is already set.
func (e *Endpoint) Set(text string) error {
	if e.IsSet() {
		return errAlreadySet
	}
	endpoint, err := ParseEndpoint(text)
	if err == nil {
		*e = endpoint
	}
	return err
}
