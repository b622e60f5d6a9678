package stage

import (
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"linenwheel.dev/linenwheel/lab/world"
)

// Request is what a try says on the wire.
type Request struct {
	ID      uint64
	Arrival world.Arrival
	Rude    bool // of a rude client: raters answer that they can make nothing of it
	Any     bool // of a rude client, in whatever form it is understood
	Hidden  bool // inside the body of another: no rater may ever see it
	Class   string
	Method  string
	Target  string // path and query
	Key     string // Idempotency-Key, empty = none
	Body    []byte
	Digest  uint64 // of all that a rater must get unchanged
	seen    bool
}

// Digest is that of what a rater must get unchanged.
func Digest(method, target, key string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{method, target, key} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// DigestOf is that of an answer's body.
func DigestOf(body []byte) uint64 { return xxhash.Sum64(body) }

// ID is the form of an id on the wire.
func ID(id uint64) string {
	s := strconv.FormatUint(id, 16)
	return "0000000000000000"[len(s):] + s
}

// Book holds the requests that clients have sent lately.
type Book struct {
	day *world.Day

	mu      sync.Mutex
	open    map[uint64][]*Request // by id, in two generations: what is in the old one goes at the next turn
	old     map[uint64][]*Request
	turned  float64
	longest float64
}

const keptFor = 30e3 // ms after its time is up

func newBook(day *world.Day) *Book {
	b := &Book{day: day, open: map[uint64][]*Request{}}
	for _, c := range day.Classes {
		b.longest = max(b.longest, c.Deadline)
	}
	return b
}

// Try makes the request of a client's try. Enter makes it known to raters.
func (b *Book) Try(a *world.Arrival, t *world.Try) *Request {
	c := &b.day.Classes[a.Class]
	r := &Request{ID: t.ID, Arrival: *a, Class: c.Name, Method: "POST",
		Target: "/" + c.Name + "/account-" + strconv.FormatUint(a.Number, 10) + "?seed=" + strconv.FormatUint(b.day.Seed, 10)}
	if a.Key != 0 {
		r.Key = ID(a.Key) + ID(a.Key>>1^0x5bd1e995)
	}
	if c.Effect == world.Safe {
		r.Method = "GET"
	} else {
		r.Body = text(a.Number, a.Body)
	}
	r.Digest = Digest(r.Method, r.Target, r.Key, r.Body)
	return r
}

// text makes a body of so many bytes that is unlike that of any other arrival.
func text(number uint64, n int) []byte {
	head := `{"record":` + strconv.FormatUint(number, 10) + `,"units":"`
	const tail = `"}`
	b := make([]byte, 0, n+len(head))
	b = append(b, head...)
	for x := number*0x9e3779b97f4a7c15 + 1; len(b) < n-len(tail); x = x*6364136223846793005 + 1442695040888963407 {
		b = append(b, 'a'+byte(x>>59)%26)
	}
	return append(b, tail...)
}

// Enter makes a request known until half a minute after a time.
func (b *Book) Enter(now float64, r *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now-b.turned > b.longest+keptFor {
		b.old, b.open, b.turned = b.open, map[uint64][]*Request{}, now
	}
	b.open[r.ID] = append(b.open[r.ID], r)
}

// Find gives the request that some client sent with this id in the form of this digest, and notes that a rater has seen it.
// Without one, r is what was sent with this id, if anything was.
func (b *Book) Find(id, digest uint64) (r *Request, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, list := range [][]*Request{b.open[id], b.old[id]} {
		for _, one := range list {
			r = one
			r.seen = true // also in a form that no client sent
			if r.Any || r.Digest == digest {
				return r, true
			}
		}
	}
	return r, false
}

// Seen tells whether any rater has seen a request.
func (b *Book) Seen(r *Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return r.seen
}

// Lately gives a usual client's request that is open or was lately; nil if there is none.
func (b *Book) Lately() *Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, list := range b.open { // the order of a map is as good as any draw here
		if !list[0].Rude {
			return list[0]
		}
	}
	return nil
}

// Answer makes the body of a rater's answer to one attempt: it is unlike that of any other.
func Answer(r *Request, rater string, relay uint32) []byte {
	head := `{"id":"` + ID(r.ID) + `","rater":"` + rater + `","attempt":` + strconv.FormatUint(uint64(relay), 10) + `,"posted":"`
	pad := max(0, r.Arrival.Answer-len(head)-2)
	return []byte(head + strings.Repeat("x", pad) + `"}`)
}
