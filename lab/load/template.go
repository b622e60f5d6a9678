package load

import (
	"net/http"
	"strconv"
)

// Template is the requests of a plan, rendered but for what differs between two of one class and owner.
type Template struct {
	plan  *Plan
	heads [][]byte // by class, then owner
	body  []byte
}

// Template renders the plan's requests to a host.
func (p *Plan) Template(host string) *Template {
	t := &Template{plan: p}
	most := 0
	for i := range p.Mix.Classes {
		c := &p.Mix.Classes[i]
		most = max(most, int(c.Body.Hi))
		for owner := range max(len(p.Mix.Owners), 1) {
			head := c.Method + " " + c.Path + " HTTP/1.1\r\nHost: " + host + "\r\n"
			for _, h := range c.Headers {
				head += h + "\r\n"
			}
			if p.Platform {
				if len(p.Mix.Owners) > 0 {
					head += "Req-Owner: " + p.Mix.Owners[owner].Name + "\r\n"
				}
				head += "Req-Deadline-Ms: " + strconv.Itoa(int(c.Deadline.Lo)) + "\r\n"
			}
			t.heads = append(t.heads, []byte(head))
		}
	}
	t.body = make([]byte, most)
	for i := range t.body {
		t.body[i] = "linenwheel "[i%11]
	}
	return t
}

// Append adds a whole request, head and body, to a buffer.
func (t *Template) Append(to []byte, r Request) []byte {
	c := &t.plan.Mix.Classes[r.Class]
	to = append(to, t.heads[r.Class*max(len(t.plan.Mix.Owners), 1)+r.Owner]...)
	if t.plan.Platform {
		to = append(to, "Req-Id: "...)
		to = appendHex(to, r.ID)
		if r.Attempt > 0 {
			to = append(to, "\r\nReq-Retry: 1"...)
		}
		if c.Effect == Keyed {
			to = append(to, "\r\nIdempotency-Key: "...)
			to = appendHex(appendHex(to, r.Key[0]), r.Key[1])
		}
		to = append(to, '\r', '\n')
	}
	if r.Body > 0 || c.Method != http.MethodGet && c.Method != http.MethodHead {
		to = append(to, "Content-Length: "...)
		to = strconv.AppendInt(to, int64(r.Body), 10)
		to = append(to, '\r', '\n')
	}
	to = append(to, '\r', '\n')
	return append(to, t.body[:r.Body]...)
}

// appendHex adds sixteen digits.
func appendHex(to []byte, n uint64) []byte {
	for shift := 60; shift >= 0; shift -= 4 {
		to = append(to, "0123456789abcdef"[n>>shift&15])
	}
	return to
}
