package forge

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"ferrypitch/internal/rack"
	"ferrypitch/internal/telltale"
)

// The operator's calls.

var replace = Call{Method: http.MethodPost, Path: "/Config.Replace", Most: 4 << 20, Within: 4 * time.Second,
	Handle: func(f *Forge, _ string, c call, answer func(int, []byte)) { f.configure(c, false, answer) }}

var amend = Call{Method: http.MethodPost, Path: "/Config.Amend", Most: 4 << 20, Within: 4 * time.Second,
	Handle: func(f *Forge, _ string, c call, answer func(int, []byte)) { f.configure(c, true, answer) }}

// configure takes a configuration: what is wrong with it is told before it comes into the log, and once more by the
// log's order, since another may come before it.
func (f *Forge) configure(c call, amend bool, answer func(int, []byte)) {
	base := int64(0)
	if c.base != "" {
		var err error
		if base, err = strconv.ParseInt(c.base, 10, 64); err != nil {
			refuse(answer, telltale.BadBody, fmt.Errorf("X-Base-Version: %.40q is no number", c.base))
			return
		}
	}
	change := &rack.Configure{Base: base, Amend: amend, Body: c.body}
	plan, err := f.state.Check(change)
	if err != nil || plan == nil {
		f.answer(err, answer)
		return
	}
	f.propose(rack.Change{Configure: f.state.Pack(change, plan)}, func(err error) {
		if err == nil {
			f.log.Info("a configuration is taken", "version", plan.Generation, "routes", len(plan.Routes))
		}
		f.answer(err, answer)
	})
}

func (f *Forge) answer(err error, answer func(int, []byte)) {
	if err != nil {
		refuse(answer, kindOf(err), err)
		return
	}
	answer(http.StatusOK, []byte("{}\n"))
}

var read = Call{Method: http.MethodGet, Path: "/Config.Read", Most: 0, Within: time.Second,
	Handle: func(f *Forge, _ string, _ call, answer func(int, []byte)) {
		if len(f.state.Config) == 0 {
			refuse(answer, telltale.NotKnown, fmt.Errorf("no configuration yet"))
			return
		}
		answer(http.StatusOK, f.state.Config)
	}}
