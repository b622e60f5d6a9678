package world

import "math"

// How is how a try ended, as its client saw it.
type How uint8

// The ways.
const (
	Served    How = iota // 200 and a body
	Refused              // 429 or 503: trying again is harmless
	Broke                // any other answer, or the connection ended without a whole one
	Unreached            // no connection to a node, or the node closed before the request was whole
	GivenUp              // the client left: the try's time was up, or it was impatient
	HowEnd               // the number of ways
)

// Try is what a client sends.
type Try struct {
	ID      uint64  // Req-Id; unlike any other
	Number  int     // from 0
	At      float64 // when it goes out
	Limit   float64 // what Req-Deadline-Ms says, whole milliseconds from At
	LeaveAt float64 // when the client closes the connection if nothing has come: At+Limit, or before if impatient
}

// Client is what one client does about one arrival: its tries, one after the other. It is a plain value, and a copy
// of it goes on by itself. What it does by chance hangs on the day's seed and the arrival's number alone.
type Client struct {
	arrival uint64
	due     float64
	class   int32
	tries   int32
	honours bool
	keyFrom float64 // when the first try that may have run went out; -1: none did
}

const triesBits = 3 // of a try's number: a client makes at most 8

// TryID is the id that a try carries. It tells nothing by itself and is unlike that of any other try.
func (d *Day) TryID(arrival uint64, try int) uint64 {
	return mix(arrival<<triesBits|uint64(try)) ^ mix(d.Seed)
}

// TryOf undoes TryID; false for an id that is none of the day's.
func (d *Day) TryOf(id uint64) (arrival uint64, try int, ok bool) {
	x := unmix(id ^ mix(d.Seed))
	return x >> triesBits, int(x & (1<<triesBits - 1)), x>>triesBits < 1<<40
}

func (d *Day) clientLuck(arrival uint64, what uint64) float64 {
	return unit(hash(hash(d.Seed, arrival+0xc11e47), what))
}

// NewClient makes the client of an arrival.
func (d *Day) NewClient(a *Arrival) Client {
	return Client{arrival: a.Number, due: a.At, class: int32(a.Class), keyFrom: -1,
		honours: d.clientLuck(a.Number, 1) < d.HonourShare}
}

// First gives its first try, which is due at the arrival's time.
func (c *Client) First(d *Day) Try {
	t, _ := c.next(d, c.due)
	return t
}

// Ended says how a try ended at a time, and gives the next one if there is any. retryAfter is what the answer advised,
// ms; 0 = nothing. Of a class that must never run twice a further try comes only after a refusal, or when no node was
// reached.
func (c *Client) Ended(d *Day, now float64, t Try, how How, retryAfter float64) (next Try, again bool) {
	retries := int(d.Retries.Lo + (math.Floor(d.Retries.Hi)-d.Retries.Lo+1)*d.clientLuck(c.arrival, 2))
	class := &d.Classes[c.class]
	if how == Served || int(c.tries) > retries || how == GivenUp && t.LeaveAt < t.At+t.Limit {
		return Try{}, false
	}
	if how != Refused && how != Unreached {
		if class.Effect == Unsafe {
			return Try{}, false
		}
		if c.keyFrom < 0 {
			c.keyFrom = t.At
		}
	}
	wait := d.Backoff * math.Exp2(float64(t.Number)) * (0.5 + d.clientLuck(c.arrival, 8+uint64(t.Number)))
	if how == Refused && c.honours && retryAfter > 0 {
		wait = max(wait, min(retryAfter, d.Site.Clients.MaxRetryAfter.Hi))
	}
	at := now + wait
	if class.Effect == Keyed && c.keyFrom >= 0 && at >= c.keyFrom+class.KeyTTL {
		return Try{}, false
	}
	return c.next(d, at)
}

// next makes the try that goes out at a time, unless too little is left of the class's time.
func (c *Client) next(d *Day, at float64) (Try, bool) {
	class := &d.Classes[c.class]
	share := d.TryShare.Lo + (d.TryShare.Hi-d.TryShare.Lo)*d.clientLuck(c.arrival, 3)
	left := math.Floor(min(class.Deadline*share, c.due+class.Deadline-at))
	if left < leastTry {
		return Try{}, false
	}
	n := int(c.tries)
	c.tries++
	t := Try{ID: d.TryID(c.arrival, n), Number: n, At: at, Limit: left, LeaveAt: at + left}
	if d.clientLuck(c.arrival, 16+uint64(n)) < d.Impatient {
		t.LeaveAt = at + left*(0.05+0.45*d.clientLuck(c.arrival, 32+uint64(n)))
	}
	return t, true
}

// leastTry is the time, ms, below which a client does not try again.
const leastTry = 20
