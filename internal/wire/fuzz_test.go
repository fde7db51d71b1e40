package wire

import (
	"testing"
)

func FuzzWire(f *testing.F) {
	for _, s := range []string{"QUERY 5c FENCE 3.1 FETCH 1\r\n", "ROW a\r\nDONE b\r\nIDLE T 1.2\r\n", "ERROR OVERLOAD x\r\n", "CONNECT a b\r\n", "\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		var response Response
		for rest := in; ; {
			line, size, err := CutLine(rest, 0)
			if err != nil || size == 0 {
				return
			}
			if request, err := ParseRequest(line); err == nil && request.ID != "" {
				again, err := ParseRequest(line)
				if err != nil || again != request || string(AppendQuery(nil, request.ID, request.Text)) != string(rest[:size]) {
					t.Fatalf("%q is not encoded as it was received", line)
				}
			}
			if complete, err := response.AddLine(line, rest[:size]); complete || err != nil {
				response = Response{}
			}
			_, _ = ParseHostStatus(string(line)) // must not panic on any line
			rest = rest[size:]
		}
	})
}
