package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"ferrypitch/internal/config"
)

// An operator is two people who change the configuration at once, each from what it last knew: answers are lost, what has
// no answer is sent again to another member, and what was taken is sent once more later. It is asserted that one number
// is confirmed to one of them only, that what was confirmed is not refused when it comes again, and that the version in
// place in the end is not older than any that was confirmed.
type operator struct {
	c     *council
	known int64            // the newest version that anybody saw
	kept  map[int64]string // versions that were confirmed
	again int              // orders sent once more after they were taken
}

type order struct {
	base int64
	body string
	ok   bool
}

func newOperator(c *council) *operator {
	o := &operator{c: c, kept: map[int64]string{}}
	for i := range 2 {
		o.c.w.After(c.w.Between(1500*ms, 2500*ms), func() { o.change(i, 0) })
	}
	return o
}

// change sends the next change, as long as there are faults.
func (o *operator) change(who, turn int) {
	w := o.c.w
	if w.Now > w.Zero+11*s {
		return
	}
	next := max(1, o.known) + 1
	mark := fmt.Sprintf(`"Limits":{"TxnIdleMs":2000,"MaxBodyBytes":%d}`, 1000+100*turn+who)
	body := strings.Replace(strings.Replace(plan, `"Limits":{"TxnIdleMs":2000}`, mark, 1), `"Generation":1`, fmt.Sprintf(`"Generation":%d`, next), 1)
	o.send(&order{base: next - 1, body: body}, next, w.Rand.IntN(3), 5)
	w.After(w.Between(s, 3*s), func() { o.change(who, turn+1) })
}

func (o *operator) send(x *order, number int64, at, tries int) {
	w := o.c.w
	w.After(w.Between(1*ms, 4*ms), func() {
		answered, m := false, o.c.members[at%3]
		m.do(m.life, func() {
			m.f.HandleCall(http.MethodPost, "/Config.Replace", strconv.FormatInt(x.base, 10), []byte(x.body), func(status int, body []byte) {
				if w.OneIn(4) {
					return // it is lost
				}
				answered = answered || status < 500
				o.told(x, number, status, body)
			})
		})
		w.After(w.Between(200*ms, s), func() {
			switch {
			case !answered && tries > 0:
				o.send(x, number, at+1, tries-1)
			case answered && x.ok && tries > 0 && w.OneIn(3): // once more, behind other orders
				o.again++
				w.After(w.Between(0, 3*s), func() { o.send(x, number, w.Rand.IntN(3), 0) })
			}
		})
	})
}

func (o *operator) told(x *order, number int64, status int, body []byte) {
	w := o.c.w
	switch {
	case status == http.StatusOK:
		if was, is := o.kept[number]; is && was != x.body {
			w.Violate("ORDER: two are confirmed as version %d", number)
		}
		o.kept[number], o.known, x.ok = x.body, max(o.known, number), true
	case status < 500 && x.ok:
		w.Violate("ORDER: version %d was taken, and is refused when it is sent again: %d %s", number, status, body)
	case status == http.StatusPreconditionFailed:
		o.known = max(o.known, number)
	}
}

// over asserts what is in place in the end.
func (o *operator) over() {
	w := o.c.w
	for _, m := range o.c.members {
		if !m.up || m.frozen || !m.leads() {
			continue
		}
		m.f.HandleCall(http.MethodGet, "/Config.Read", "", nil, func(_ int, body []byte) {
			version, _ := config.PeekGeneration(body)
			for number, kept := range o.kept {
				if number > version || number == version && kept != string(body) {
					w.Violate("ORDER: version %d was confirmed, and %d is in place", number, version)
				}
			}
		})
		return
	}
	w.Violate("no member of the control plane leads in the end")
}
