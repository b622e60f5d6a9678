package load

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"

	"linenwheel.dev/linenwheel/lab/form"
)

// Mix is the classes of requests and the owners that send them.
type Mix struct {
	Classes []Class `toml:"class" json:"classes"`
	Owners  []Owner `toml:"owner" json:"owners,omitempty"`
}

// Class is one kind of request.
type Class struct {
	Name     string     `toml:"name"     json:"name"`
	Weight   float64    `toml:"weight"   json:"weight"`           // its share of the requests, against the other weights
	Effect   Effect     `toml:"effect"   json:"effect,omitempty"` // how it may be repeated; says the method
	Method   string     `toml:"method"   json:"method"`
	Path     string     `toml:"path"     json:"path"`     // with a query, if there is one; "/NAME" by default
	Body     form.Range `toml:"body"     json:"body"`     // bytes, drawn evenly
	Deadline form.Span  `toml:"deadline" json:"deadline"` // how long the client waits for the answer
	Headers  []string   `toml:"headers"  json:"headers,omitempty"`
}

// Effect is what a repeat of a request would do.
type Effect string

// Safe may be repeated at will, Keyed carries a key by which a repeat is known, Unsafe must never run twice.
const (
	Safe   Effect = "safe"
	Keyed  Effect = "keyed"
	Unsafe Effect = "unsafe"
)

// Owner is a tenant and its share of the requests, against the other shares.
type Owner struct {
	Name  string  `toml:"name"  json:"name"`
	Share float64 `toml:"share" json:"share"`
}

const (
	maxBody    = 1 << 20
	maxClasses = 64
	maxOwners  = 64
)

// ReadMix reads a TOML file of [[class]] and [[owner]] tables.
func ReadMix(file, text string) (Mix, error) {
	var mix Mix
	if err := form.Read(file, text, &mix); err != nil {
		return mix, err
	}
	return mix, mix.Complete(file, text)
}

// ParseClass reads a class from fields such as "name=quote,weight=8,effect=safe,deadline=480ms".
func ParseClass(text string) (Class, error) {
	var table strings.Builder
	for field := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return Class{}, fmt.Errorf("class %q: %q is no NAME=VALUE", text, field)
		}
		switch name = strings.TrimSpace(name); name {
		case "weight":
			fmt.Fprintf(&table, "weight = %s\n", value)
		case "header":
			fmt.Fprintf(&table, "headers = [%q]\n", value)
		default:
			fmt.Fprintf(&table, "%s = %q\n", name, value)
		}
	}
	var class Class
	err := form.Read(fmt.Sprintf("class %q", text), table.String(), &class)
	return class, err
}

// Complete fills in what a class leaves out and names the first field that cannot work. The text is that of the file
// that the mix came from.
func (m *Mix) Complete(file, text string) error {
	wrong := func(field string, n int, format string, args ...any) error {
		return form.Wrong(file, text, field, n, format, args...)
	}
	if len(m.Classes) == 0 || len(m.Classes) > maxClasses {
		return wrong("class", 0, "%d of them, want 1 to %d", len(m.Classes), maxClasses)
	}
	if len(m.Owners) > maxOwners {
		return wrong("owner", maxOwners, "%d of them, at most %d", len(m.Owners), maxOwners)
	}
	names := map[string]bool{}
	for i := range m.Classes {
		c := &m.Classes[i]
		c.complete()
		if names[c.Name] {
			return wrong("class.name", i, "%q is there twice", c.Name)
		}
		names[c.Name] = true
		if field, err := c.check(); err != nil {
			return wrong("class."+field, i, "%v", err)
		}
	}
	for i, o := range m.Owners {
		if !(o.Share > 0) {
			return wrong("owner.share", i, "%v is not above 0", o.Share)
		}
		if o.Name == "" || !httpguts.ValidHeaderFieldValue(o.Name) {
			return wrong("owner.name", i, "%q is nothing that a header can hold", o.Name)
		}
	}
	return nil
}

func (c *Class) complete() {
	if c.Weight == 0 {
		c.Weight = 1
	}
	if c.Method == "" {
		c.Method = http.MethodGet
		if c.Effect == Keyed || c.Effect == Unsafe {
			c.Method = http.MethodPost
		}
	}
	if c.Path == "" {
		c.Path = "/" + c.Name
	}
	if c.Deadline.IsZero() {
		c.Deadline = form.Millis(defaultPatience)
	}
}

const defaultPatience = 5000 // milliseconds

// check names the first field that cannot work.
func (c *Class) check() (field string, err error) {
	switch {
	case c.Name == "":
		return "name", errors.New("missing")
	case !(c.Weight > 0):
		return "weight", fmt.Errorf("%v is not above 0", c.Weight)
	case !slices.Contains([]Effect{"", Safe, Keyed, Unsafe}, c.Effect):
		return "effect", fmt.Errorf("%q is none of safe, keyed, unsafe", c.Effect)
	case !httpguts.ValidHeaderFieldName(c.Method):
		return "method", fmt.Errorf("%q is no token", c.Method)
	case !strings.HasPrefix(c.Path, "/") || strings.ContainsFunc(c.Path, func(r rune) bool { return r <= ' ' || r > '~' }):
		return "path", fmt.Errorf("%q is no printable ASCII that begins with /", c.Path)
	case !c.Body.Within(0, maxBody) || c.Body.Lo != math.Trunc(c.Body.Lo) || c.Body.Hi != math.Trunc(c.Body.Hi):
		return "body", fmt.Errorf("%g..%g are no whole numbers from 0 to %d", c.Body.Lo, c.Body.Hi, maxBody)
	case c.Body.Hi > 0 && (c.Method == http.MethodGet || c.Method == http.MethodHead):
		return "body", fmt.Errorf("a %s request has none", c.Method)
	case c.Deadline.Lo < 1 || c.Deadline.Lo != c.Deadline.Hi:
		return "deadline", errors.New("is no single time of 1ms at least")
	}
	for _, h := range c.Headers {
		name, value, ok := strings.Cut(h, ":")
		if !ok || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return "headers", fmt.Errorf("%q is no NAME: VALUE", h)
		}
	}
	return "", nil
}

// Request is what one request looks like.
type Request struct {
	Index   uint64 // which first request of the plan it is, from 0
	Attempt int    // 0 for the first request, further ones for a client's retries
	Class   int
	Owner   int // meaningless without owners
	Body    int // bytes
	ID      uint64
	Key     [2]uint64 // the same for all attempts
}

// Drawer draws requests. It keeps nothing between two draws.
type Drawer struct {
	plan   *Plan
	source rand.PCG
	random *rand.Rand
}

// Drawer makes one; each worker has its own.
func (p *Plan) Drawer() *Drawer {
	d := &Drawer{plan: p}
	d.random = rand.New(&d.source)
	return d
}

// Draw gives the request of an index. Class, owner and size come from the plan's seed, id and key from its run.
func (d *Drawer) Draw(index uint64) Request {
	mix := &d.plan.Mix
	d.source.Seed(d.plan.Seed, index)
	r := Request{Index: index}
	r.Class = d.pick(len(mix.Classes), func(i int) float64 { return mix.Classes[i].Weight })
	r.Owner = d.pick(len(mix.Owners), func(i int) float64 { return mix.Owners[i].Share })
	body := mix.Classes[r.Class].Body
	r.Body = body.Whole(d.random)
	d.source.Seed(d.plan.Run, index<<4)
	r.ID, r.Key = d.random.Uint64(), [2]uint64{d.random.Uint64(), d.random.Uint64()}
	return r
}

// Again gives the next request of the same client for the same thing and how long it waits first, or false when it
// gives up. Asked is the Retry-After of the answer in milliseconds.
func (d *Drawer) Again(r Request, asked float64) (Request, float64, bool) {
	if r.Attempt >= d.plan.Retry.Most {
		return r, 0, false
	}
	r.Attempt++
	d.source.Seed(d.plan.Run, r.Index<<4|uint64(r.Attempt))
	r.ID = d.random.Uint64()
	return r, d.plan.Retry.pause(r.Attempt, asked, d.random.Float64()), true
}

// pick draws one of n by weight; 0 of none.
func (d *Drawer) pick(n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	at := d.random.Float64() * total
	for i := range n {
		if at -= weight(i); at < 0 {
			return i
		}
	}
	return max(n-1, 0)
}
