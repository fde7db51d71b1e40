package metrics

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Endpoint is where a process shows its figures: a TCP port on the address of its machine, and a path. The zero value is nowhere.
type Endpoint struct {
	Port int
	Path string // begins with a slash
}

// errRepeated says that the flag was given twice.
var errRepeated = errors.New("given twice")

// ParseEndpoint reads PORT/PATH, as in 9464/metrics.
func ParseEndpoint(text string) (Endpoint, error) {
	portText, path, found := strings.Cut(text, "/")
	port, err := strconv.ParseUint(portText, 10, 16)
	switch {
	case err != nil || port == 0:
		return Endpoint{}, fmt.Errorf("%.40q: a port from 1 to 65535 is wanted before the path", text)
	case !found || path == "" || strings.ContainsAny(path, " ?#%\r\n"):
		return Endpoint{}, fmt.Errorf("%.40q: PORT/PATH is wanted, as in 9464/metrics", text)
	}
	return Endpoint{Port: int(port), Path: "/" + path}, nil
}

// IsSet says whether there is an endpoint at all.
func (e *Endpoint) IsSet() bool { return e.Port != 0 }

// String implements flag.Value.
func (e *Endpoint) String() string {
	if e == nil || !e.IsSet() {
		return ""
	}
	return strconv.Itoa(e.Port) + e.Path
}

// Set implements flag.Value. A second call is refused.
func (e *Endpoint) Set(text string) error {
	if e.IsSet() {
		return errRepeated
	}
	endpoint, err := ParseEndpoint(text)
	if err == nil {
		*e = endpoint
	}
	return err
}
