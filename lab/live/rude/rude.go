// Package rude plays clients that keep to no protocol: unreadable, endless and too large messages, wrong lengths, half
// requests, floods, silent connections, ids that are missing or another's, a request hidden in another's body. Each is owed
// a close or an error within some seconds, and nothing of it counts for the service figure.
package rude

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"linenwheel.dev/linenwheel/lab/live/clients"
	"linenwheel.dev/linenwheel/lab/live/stage"
	"linenwheel.dev/linenwheel/lab/record"
	"linenwheel.dev/linenwheel/lab/world"
)

const (
	owedIn      = 3000.0 // ms from its connection on
	owedInLarge = 6000.0 // for one with so much to send
	largeBody   = 60 << 20
	patience    = 1500.0 // ms beyond, after which a rude client leaves by itself
	piece       = 64 << 10
	floodOf     = 200 // requests at once
	silentOf    = 20  // connections at once
	againFor    = 1500 * time.Millisecond
	againMost   = 20  // times that one sends the same again
	atOnce      = 400 // rude connections open at once
)

// Clients are the rude ones.
type Clients struct {
	stage *stage.Stage
	front *clients.Front
	sink  *stage.Sink
	seats chan struct{}
	open  sync.WaitGroup

	mu     sync.Mutex
	number uint64
}

// New makes them; Run plays a trouble.
func New(st *stage.Stage, front *clients.Front) *Clients {
	return &Clients{stage: st, front: front, sink: st.Sink(), seats: make(chan struct{}, atOnce)}
}

// id is unlike that of any usual client's try.
func (c *Clients) id() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		c.number++
		id := (c.number + 1<<40) * 0x9e3779b97f4a7c15
		if _, _, usual := c.stage.Day.TryOf(id); !usual {
			return id
		}
	}
}

// Run plays one trouble from now on until its end, or stop is closed, and waits for what it began.
func (c *Clients) Run(t *world.Trouble, stop <-chan struct{}) {
	defer c.open.Wait()
	for t.Rate > 0 {
		gap := rand.ExpFloat64() / t.Rate * 1000
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(gap * 1e6)):
		}
		if c.stage.Clock.Now() >= t.To {
			return
		}
		way := t.Ways[rand.IntN(len(t.Ways))]
		n := 1
		if way == "silent" {
			n = silentOf
		}
		for range n {
			select {
			case c.seats <- struct{}{}:
				c.open.Go(func() {
					c.play(way)
					<-c.seats
				})
			default: // as many as there may be
			}
		}
	}
}

// visit is one rude connection.
type visit struct {
	c     *Clients
	conn  net.Conn
	event record.Event // with its number and node
	until time.Time
	ended chan struct{} // closed when the node has closed
	once  sync.Once
	turns chan int // statuses that came
}

func (c *Clients) play(way string) {
	node, ok := c.front.Choose(func(int) bool { return false })
	if !ok {
		return
	}
	conn, err := net.DialTimeout("tcp4", c.front.Address(node), time.Second)
	if err != nil {
		return // nothing is owed to one that did not get in
	}
	defer conn.Close()
	owed := owedIn
	if way == "too_large" {
		owed = owedInLarge
	}
	v := &visit{c: c, conn: conn, until: time.Now().Add(time.Duration((owed + patience) * 1e6)), ended: make(chan struct{}),
		turns: make(chan int, 1), event: record.Event{Request: c.id(), Node: int16(node), Rater: record.None}}
	sent := v.event
	sent.At, sent.Kind, sent.How, sent.Extra = c.stage.Clock.Now(), record.RudeSent, uint8(slices.Index(world.RudeWays, way)), uint64(owed)
	if way == "flood" || way == "again" {
		sent.Value = 1 // good requests, if too many
	}
	c.sink.Add(sent)
	_ = conn.SetDeadline(v.until)
	go v.read()
	if !ways[way](v) {
		v.left()
		return
	}
	<-v.ended
}

func (v *visit) note(kind record.Kind, status uint64) {
	e := v.event
	e.At, e.Kind, e.Extra = v.c.stage.Clock.Now(), kind, status
	v.c.sink.Add(e)
}

// left says that it closes first, as it meant to.
func (v *visit) left() { v.once.Do(func() { v.note(record.RudeLeft, 0) }) }

// read takes in whatever comes: the status of each answer, and the close.
func (v *visit) read() {
	defer close(v.ended)
	in := bufio.NewReader(v.conn)
	for {
		a, err := http.ReadResponse(in, nil)
		if err == nil {
			if a.StatusCode >= 200 {
				v.note(record.RudeGot, uint64(a.StatusCode))
				select {
				case v.turns <- a.StatusCode:
				default:
				}
			}
			_, err = io.Copy(io.Discard, a.Body)
		}
		if err != nil {
			if n, ok := err.(net.Error); !ok || !n.Timeout() { //nolint:errorlint // from the connection itself
				v.once.Do(func() { v.note(record.RudeClosed, 0) })
			}
			return
		}
	}
}

func (v *visit) send(b []byte) bool {
	_, err := v.conn.Write(b)
	return err == nil
}

// request makes a good request of the day's first class, known to raters as a rude client's.
func (v *visit) request() *stage.Request {
	d := v.c.stage.Day
	class := &d.Classes[0]
	r := &stage.Request{ID: v.c.id(), Rude: true, Class: class.Name, Method: "POST", Target: "/" + class.Name + "/rude",
		Body: []byte(`{"rude":1}`)}
	switch class.Effect {
	case world.Safe:
		r.Method, r.Body = "GET", nil
	case world.Keyed:
		r.Key = stage.ID(r.ID) + stage.ID(r.ID)
	}
	return r
}

func (v *visit) enter(r *stage.Request) {
	r.Digest = stage.Digest(r.Method, r.Target, r.Key, r.Body)
	v.c.stage.Book.Enter(v.c.stage.Clock.Now(), r)
}

// text is a request on the wire; head lines given here go before those of the same name.
func (v *visit) text(r *stage.Request, heads ...string) []byte {
	lines := []string{"Host: service.internal", "Req-Id: " + stage.ID(r.ID), "Req-Owner: " + v.c.stage.Day.Partners[0].Name,
		"Req-Deadline-Ms: 1000"}
	if r.Key != "" {
		lines = append(lines, "Idempotency-Key: "+r.Key)
	}
	if r.Method != http.MethodGet {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(r.Body)))
	}
	for _, h := range heads {
		name, value, _ := strings.Cut(h, ":")
		lines = slices.DeleteFunc(lines, func(l string) bool { return strings.HasPrefix(l, name+":") })
		if value != "" {
			lines = append(lines, h)
		}
	}
	return append([]byte(r.Method+" "+r.Target+" HTTP/1.1\r\n"+strings.Join(lines, "\r\n")+"\r\n\r\n"), r.Body...)
}

// ways are what each kind does; false if it leaves by itself.
var ways = map[string]func(*visit) bool{
	"unreadable": func(v *visit) bool {
		b := make([]byte, 600)
		for i := range b {
			b[i] = byte(rand.Uint32())
		}
		return v.send(append(b, "\r\n\r\n"...)) || true
	},
	"endless": func(v *visit) bool {
		more := []byte(strings.Repeat("X-More: and more and more\r\n", 100))
		for ok := v.send([]byte("GET /endless HTTP/1.1\r\nHost: service.internal\r\n")); ok; ok = v.send(more) {
		}
		return true
	},
	"too_large": func(v *visit) bool {
		r := v.request()
		more := bytes.Repeat([]byte("s"), piece)
		ok := v.send(v.text(&stage.Request{ID: r.ID, Method: "POST", Target: r.Target}, fmt.Sprintf("Content-Length: %d", largeBody)))
		for sent := 0; ok && sent < largeBody; sent += piece {
			ok = v.send(more)
		}
		return true
	},
	"half": func(v *visit) bool {
		t := v.text(v.request())
		v.send(t[:len(t)/2])
		return false
	},
	"flood": func(v *visit) bool {
		var all []byte
		for range floodOf {
			r := v.request()
			v.enter(r)
			all = append(all, v.text(r)...)
		}
		return v.send(all) || true
	},
	"silent": func(*visit) bool { return true },
	"wrong_length": func(v *visit) bool {
		lengths := []string{"-5", "99999999999999999999", "ten", "1, 2", "0x10"}
		r := v.request()
		r.Method, r.Body = "POST", []byte("body")
		return v.send(v.text(r, "Content-Length: "+lengths[rand.IntN(len(lengths))])) || true
	},
	"no_id": func(v *visit) bool { return v.send(v.text(v.request(), "Req-Id:")) || true },
	"stolen_id": func(v *visit) bool {
		r := v.request()
		if usual := v.c.stage.Book.Lately(); usual != nil {
			r.ID = usual.ID
		}
		v.enter(r)
		return v.send(v.text(r)) || true
	},
	"no_class": func(v *visit) bool {
		r := v.request()
		r.Target = "/no-such-class/rude"
		v.enter(r)
		return v.send(v.text(r)) || true
	},
	"bad_deadline": func(v *visit) bool {
		r := v.request()
		v.enter(r)
		deadlines := []string{"soon", "-1", "1e99", "12.x"}
		return v.send(v.text(r, "Req-Deadline-Ms: "+deadlines[rand.IntN(len(deadlines))])) || true
	},
	"smuggled": func(v *visit) bool {
		outer, hidden := v.request(), v.request()
		outer.Any, outer.Method, outer.Body = true, "POST", nil
		hidden.Hidden = true
		v.enter(outer)
		v.enter(hidden)
		inner := v.text(hidden)
		head := v.text(outer, fmt.Sprintf("Content-Length: %d", len("0\r\n\r\n")+len(inner)), "Transfer-Encoding: chunked")
		return v.send(append(append(head, "0\r\n\r\n"...), inner...)) || true
	},
	"again": func(v *visit) bool {
		r := v.request()
		v.enter(r)
		end := time.Now().Add(againFor)
		for n := 0; n < againMost && time.Now().Before(end) && v.send(v.text(r)); n++ {
			select {
			case <-v.turns:
			case <-v.ended:
				return true
			case <-time.After(time.Until(end)):
			}
		}
		return false
	},
}
